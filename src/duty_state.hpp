#ifndef AGATELEDGE_DUTY_STATE_HPP
#define AGATELEDGE_DUTY_STATE_HPP

#include "duty_lease.hpp"
#include "time.hpp"
#include "usage_snapshot.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

struct usage_state;
struct world;

constexpr std::size_t duty_count = 3;

/// State of the duties that one daemon at a time performs for the deployment.
struct duty_state
{
    /// @return the time of day since the Unix epoch, which may jump; empty in a
    ///         daemon without a clock, which counts no usage
    std::function<duration()> time_of_day;
    std::array<duty_lease, duty_count> leases;
    /// Highest era of the store that is known.
    std::uint64_t era = 0;
    /// Number of the last `row_transaction` or `platform_call`.
    std::uint64_t last_operation = 0;
    /// Sequence number of the last datagram.
    std::uint64_t sequence = 0;
    instant next_notice{};
    instant next_rank{};
    /// Highest window whose counts are final.
    std::int64_t closed_window = 0;
    /// Hashes of the newest such windows' reports. A row that a late write has
    /// put into an older copy of the store can have another content.
    std::map<std::int64_t, std::uint64_t> closed_hashes;
    /// What all daemons have asked of each service, as far as it was reported
    /// to this daemon. The sums only grow, also when daemons restart.
    std::map<std::string, service_activity> fleet_activity;
    /// Snapshots of other daemons by result, and reports to the platform by
    /// result.
    std::map<std::string, std::uint64_t> snapshots;
    std::map<std::string, std::uint64_t> reports;
    std::shared_ptr<usage_state> usage;

    /// Records windows whose counts are final.
    void add_closed(std::vector<struct closed_window> const &windows);

    /// @return the newest windows whose counts are final
    std::vector<struct closed_window> closed() const;

    duty_lease &lease(duty item)
    {
        return leases.at(static_cast<std::size_t>(item));
    }
    duty_lease const &lease(duty item) const
    {
        return leases.at(static_cast<std::size_t>(item));
    }
};

/// @return true when the settings give this daemon duties
bool has_duties(world const &w);

/// @return the state of the duties, which is created if absent
duty_state &duties_of(world &w);

} // namespace agateledge

#endif
