#ifndef AGATELEDGE_STANDIN_TABLE_SERVER_HPP
#define AGATELEDGE_STANDIN_TABLE_SERVER_HPP

#include "http_server.hpp"
#include "random_source.hpp"
#include "standin_table.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace agateledge
{

/// Table service stand-in on a socket of its own: POST /v1/read and
/// /v1/transact. POST /faults {"outage":bool,"lost_answers":share} brings
/// about outages and lost answers, for tests.
class standin_table_server
{
public:
    /// @param seed seed for the choice of the answers that are lost
    explicit standin_table_server(std::uint64_t seed = 1);

    /// @param address IP address and port; port 0 takes a free one
    absl::Status listen(std::string const &address);
    std::string address() const { return server_.address(); }

    standin_table &model() { return model_; }

private:
    using exchange = std::shared_ptr<http_exchange>;

    void serve(exchange const &request);
    void set_faults(exchange const &request);

    standin_table model_;
    random_source random_;
    http_server server_;
    bool outage_ = false;
    /// Share of the answers to writes that are lost after the write.
    double lost_answers_ = 0;
};

} // namespace agateledge

#endif
