#ifndef AGATELEDGE_ACTIVITY_TABLE_HPP
#define AGATELEDGE_ACTIVITY_TABLE_HPP

#include "time.hpp"
#include "usage_snapshot.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace agateledge
{

/// What daemons ask of a service in a second.
struct activity_rates
{
    double requests = 0;
    double unread_tokens = 0;
    /// Requests that are answered late or refused.
    double failing = 0;

    auto operator<=>(activity_rates const &) const = default;
};

/// Rates of all daemons, from the running sums in their snapshots.
class activity_table
{
public:
    /// Takes over a snapshot; one that is older than the last one of its sender
    /// is ignored.
    void record(usage_snapshot const &snapshot, instant now);

    /// Forgets the daemons that `keep` does not accept.
    template <class Predicate>
    void retain(Predicate keep)
    {
        std::erase_if(daemons_,
                      [&keep](auto const &item) { return !keep(item.first); });
    }

    /// @return number of daemons whose rates are known and whose last snapshot
    ///         is not older than `max_age`
    std::size_t heard(instant now, duration max_age) const;

    /// @return the sum of the last known rates, extrapolated from the daemons
    ///         with known rates to `fleet_size` daemons
    activity_rates total(std::string const &service,
                         std::size_t fleet_size) const;

private:
    struct daemon_activity
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        instant heard_at{};
        /// Sums and time from which the next rates are computed.
        std::map<std::string, service_activity> sums;
        instant counted_at{};
        bool has_rates = false;
        std::map<std::string, activity_rates> rates;
    };

    std::map<std::string, daemon_activity> daemons_;
};

} // namespace agateledge

#endif
