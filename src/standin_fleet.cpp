#include "standin_fleet.hpp"

#include "settings.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace agateledge
{

namespace
{

constexpr duration membership_lag = seconds(2);
constexpr double weight_bytes_per_second = 1e9;
constexpr char const *any_loopback_port = "127.0.0.1:0";

/// Listens on `address`, or on a free loopback port, and sets `address` to the
/// address in use.
template <class Server>
absl::Status listen(Server &server, std::string &address, bool free_ports)
{
    auto status = server.listen(free_ports ? any_loopback_port : address);
    if (status.ok())
    {
        address = server.address();
    }
    return status;
}

} // namespace

standin_fleet::standin_fleet(std::uint64_t seed)
    : seed_(seed), table_(seed),
      platform_(membership_lag, weight_bytes_per_second)
{
}

absl::Status standin_fleet::start(settings &config, bool free_ports)
{
    if (auto status = start_platform(config, free_ports); !status.ok())
    {
        return status;
    }
    if (auto status = start_engines(config, free_ports); !status.ok())
    {
        return status;
    }
    if (auto status = start_endpoints(config, free_ports); !status.ok())
    {
        return status;
    }
    publish_hosts(config);
    return absl::OkStatus();
}

absl::Status standin_fleet::start_platform(settings &config, bool free_ports)
{
    if (auto status = listen(table_, config.table_address, free_ports);
        !status.ok())
    {
        return status;
    }
    auto status = listen(platform_, config.membership_address, free_ports);
    config.object_store_address = config.membership_address;
    config.weight_store_address = config.membership_address;
    return status;
}

absl::Status standin_fleet::start_engines(settings &config, bool free_ports)
{
    for (auto &definition : config.initial.engines)
    {
        auto server = std::make_unique<standin_engine_server>(
            make_standin_options(definition, ++seed_));
        auto status = listen(*server, definition.address, free_ports);
        if (!status.ok())
        {
            return status;
        }
        engines_.push_back(std::move(server));
    }
    return absl::OkStatus();
}

absl::Status standin_fleet::start_endpoints(settings &config, bool free_ports)
{
    for (auto &definition : config.initial.endpoints)
    {
        auto server = std::make_unique<standin_service_server>(
            services_[definition.service]);
        auto status = listen(*server, definition.address, free_ports);
        if (!status.ok())
        {
            return status;
        }
        endpoints_.push_back(std::move(server));
    }
    return absl::OkStatus();
}

void standin_fleet::publish_hosts(settings const &config)
{
    std::vector<host_entry> hosts;
    auto const add = [&hosts](auto const &definition)
    {
        hosts.push_back({definition.name, definition.data_centre,
                         definition.address, false, false});
    };
    std::ranges::for_each(config.initial.engines, add);
    std::ranges::for_each(config.initial.endpoints, add);
    platform_.set_hosts(std::move(hosts));
}

int standin_fleet::duplicate_booking_count() const
{
    return std::accumulate(services_.begin(), services_.end(), 0,
                           [](int sum, auto const &service)
                           { return sum + service.second.duplicate_count(); });
}

} // namespace agateledge
