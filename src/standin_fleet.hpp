#ifndef AGATELEDGE_STANDIN_FLEET_HPP
#define AGATELEDGE_STANDIN_FLEET_HPP

#include "standin_engine_server.hpp"
#include "standin_platform_server.hpp"
#include "standin_service_server.hpp"
#include "standin_table_server.hpp"

#include "absl/status/status.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

struct settings;

/// Stand-ins for the services that the daemons of one deployment depend on:
/// engines, endpoints of plain services, table service, object and weight store
/// and membership list.
class standin_fleet
{
public:
    /// @param seed seed of the stand-ins' random choices
    explicit standin_fleet(std::uint64_t seed);

    /// Starts a stand-in for each address in the settings. The object store and
    /// the weight store are served at the address of the membership list.
    ///
    /// @param config settings; each address is replaced by the one that the
    ///        stand-in listens on
    /// @param free_ports true to listen on free loopback ports instead of the
    ///        addresses in the settings
    /// @return `settings_invalid` when an address cannot be listened on
    absl::Status start(settings &config, bool free_ports);

    /// @return number of bookings with more than one effect
    int duplicate_booking_count() const;

    std::map<std::string, standin_service> const &services() const
    {
        return services_;
    }

    std::vector<std::unique_ptr<standin_engine_server>> &engines()
    {
        return engines_;
    }

    standin_table_server &table() { return table_; }
    standin_platform_server &platform() { return platform_; }

private:
    absl::Status start_platform(settings &config, bool free_ports);
    absl::Status start_engines(settings &config, bool free_ports);
    absl::Status start_endpoints(settings &config, bool free_ports);
    void publish_hosts(settings const &config);

    std::uint64_t seed_;
    standin_table_server table_;
    standin_platform_server platform_;
    std::map<std::string, standin_service> services_;
    std::vector<std::unique_ptr<standin_engine_server>> engines_;
    std::vector<std::unique_ptr<standin_service_server>> endpoints_;
};

} // namespace agateledge

#endif
