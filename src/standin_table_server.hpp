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

/// HTTP server of the table service stand-in: POST /v1/read and /v1/transact.
/// For tests, POST /faults {"outage":bool,"lost_answers":share} injects outages
/// and lost answers.
class standin_table_server
{
public:
    /// @param seed seed of the random choice of lost answers
    explicit standin_table_server(std::uint64_t seed = 1);

    /// @param address IP address and port; port 0 selects a free port
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
    /// Share of writes, from 0 to 1, that are applied but whose answer is lost.
    double lost_answers_ = 0;
};

} // namespace agateledge

#endif
