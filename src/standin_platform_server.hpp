#ifndef AGATELEDGE_STANDIN_PLATFORM_SERVER_HPP
#define AGATELEDGE_STANDIN_PLATFORM_SERVER_HPP

#include "http_server.hpp"
#include "inbox.hpp"
#include "time.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

/// Stand-in for the platform's membership list, object store and weight store.
/// GET /v1/hosts answers with the list as it was `membership_lag` ago;
/// PUT and GET /v1/objects/<key> store and fetch objects; GET
/// /v1/weights/<name> answers after the time that its bytes take at the
/// store's rate.
class standin_platform_server
{
public:
    /// @param membership_lag age of the list that is given out
    /// @param weight_bytes_per_second rate that all fetches of weights share
    standin_platform_server(duration membership_lag,
                            double weight_bytes_per_second);

    /// @param address IP address and port; port 0 takes a free one
    absl::Status listen(std::string const &address);
    std::string address() const { return server_.address(); }

    /// Replaces the list of hosts.
    void set_hosts(std::vector<host_entry> hosts);

private:
    using exchange = std::shared_ptr<http_exchange>;

    struct host_list
    {
        instant since;
        std::vector<host_entry> hosts;
    };

    void list_hosts(exchange const &request) const;
    void serve_object(exchange const &request);
    void serve_weights(exchange const &request);

    duration membership_lag_;
    double weight_bytes_per_second_;
    /// Time at which the weight store has sent all that was asked for.
    instant weights_free_at_{};
    std::vector<host_list> lists_;
    std::map<std::string, std::string> objects_;
    http_server server_;
};

} // namespace agateledge

#endif
