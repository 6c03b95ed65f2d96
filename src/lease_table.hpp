#ifndef AGATELEDGE_LEASE_TABLE_HPP
#define AGATELEDGE_LEASE_TABLE_HPP

#include "ids.hpp"
#include "lease_row.hpp"
#include "time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// What the daemon waits for from the table service.
enum class lease_step
{
    idle,
    reading,
    writing,
};

/// Write of a lease row whose effect gives authority from `sent_at` on.
struct lease_attempt
{
    std::string id;
    instant sent_at{};
};

/// Lease of one data centre as this daemon knows it.
struct lease_state
{
    std::string data_centre;
    /// Row that was read last, its version and that of `fence/<data centre>`.
    lease_row row;
    std::uint64_t row_version = 0;
    std::uint64_t fence_version = 0;
    fencing_number highest_fencing;
    bool observed = false;
    /// Time at which the version of the row was first seen.
    instant observed_at{};
    /// True while the row, as last read, names this daemon's incarnation.
    bool held = false;
    /// Authority ends here, on this daemon's clock.
    instant authority_until{};
    lease_step step = lease_step::idle;
    operation_number operation;
    instant operation_sent_at{};
    /// Writes of this daemon that may have taken effect.
    std::vector<lease_attempt> attempts;
    instant next_action{};
    int failures = 0;
    bool release_sent = false;
};

/// Leases that this daemon holds or competes for, by data centre.
class lease_table
{
public:
    /// @return the lease of a data centre, added when it is not known
    lease_state &add(std::string const &data_centre);

    /// @return the lease of a data centre, or null
    lease_state const *find(std::string const &data_centre) const;
    lease_state *find(std::string const &data_centre);

private:
    std::map<std::string, lease_state> states_;
};

} // namespace agateledge

#endif
