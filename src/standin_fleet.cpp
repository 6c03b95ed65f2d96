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

/// Listens on `address`, or on a free port that replaces it.
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

absl::Status standin_fleet::start(settings &value, bool free_ports)
{
    if (auto status = start_platform(value, free_ports); !status.ok())
    {
        return status;
    }
    if (auto status = start_engines(value, free_ports); !status.ok())
    {
        return status;
    }
    if (auto status = start_endpoints(value, free_ports); !status.ok())
    {
        return status;
    }
    list_hosts(value);
    return absl::OkStatus();
}

absl::Status standin_fleet::start_platform(settings &value, bool free_ports)
{
    if (auto status = listen(table_, value.table_address, free_ports);
        !status.ok())
    {
        return status;
    }
    auto status = listen(platform_, value.membership_address, free_ports);
    value.object_store_address = value.membership_address;
    value.weight_store_address = value.membership_address;
    return status;
}

absl::Status standin_fleet::start_engines(settings &value, bool free_ports)
{
    for (auto &definition : value.initial.engines)
    {
        auto server = std::make_unique<standin_engine_server>(
            standin_options_of(definition, ++seed_));
        auto status = listen(*server, definition.address, free_ports);
        if (!status.ok())
        {
            return status;
        }
        engines_.push_back(std::move(server));
    }
    return absl::OkStatus();
}

absl::Status standin_fleet::start_endpoints(settings &value, bool free_ports)
{
    for (auto &definition : value.initial.endpoints)
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

void standin_fleet::list_hosts(settings const &value)
{
    std::vector<host_entry> hosts;
    auto const add = [&hosts](auto const &definition)
    {
        hosts.push_back({definition.name, definition.data_centre,
                         definition.address, false, false});
    };
    std::ranges::for_each(value.initial.engines, add);
    std::ranges::for_each(value.initial.endpoints, add);
    platform_.set_hosts(std::move(hosts));
}

int standin_fleet::doubled_bookings() const
{
    return std::accumulate(services_.begin(), services_.end(), 0,
                           [](int sum, auto const &service)
                           { return sum + service.second.doubled(); });
}

} // namespace agateledge
