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
/// GET /v1/hosts returns the list as it was `membership_lag` ago; PUT and GET
/// /v1/objects/<key> store and fetch objects; GET /v1/weights/<name> responds
/// after the time that the transfer takes at the store's bandwidth.
class standin_platform_server
{
public:
    /// @param membership_lag delay until a change of the list is visible
    /// @param weight_bytes_per_second bandwidth shared by all weight transfers
    standin_platform_server(duration membership_lag,
                            double weight_bytes_per_second);

    /// @param address IP address and port; port 0 selects a free port
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
    /// Time at which the last requested weight transfer ends.
    instant weight_transfers_end_at_{};
    std::vector<host_list> host_lists_;
    std::map<std::string, std::string> objects_;
    http_server server_;
};

} // namespace agateledge

#endif
