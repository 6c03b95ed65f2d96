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

/// Operation of the table service that the daemon waits for.
enum class lease_step
{
    idle,
    reading,
    writing,
};

/// Write of a lease row; if it took effect, the lease is valid from `sent_at`.
struct lease_attempt
{
    std::string id;
    instant sent_at{};
};

/// Lease of one data centre as this daemon knows it.
struct lease_state
{
    std::string data_centre;
    /// Row as last read or written, its version and that of the row
    /// `fence/<data centre>`.
    lease_row row;
    std::uint64_t row_version = 0;
    std::uint64_t fence_version = 0;
    fencing_number highest_fencing;
    bool observed = false;
    /// Time at which this version of the row was first observed.
    instant observed_at{};
    /// True while the row, as last read or written, names this incarnation of
    /// this daemon.
    bool held = false;
    /// End of the authority on this daemon's clock.
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
    /// @return the lease of a data centre, which is added if absent
    lease_state &add(std::string const &data_centre);

    /// @return the lease of a data centre, or null
    lease_state const *find(std::string const &data_centre) const;
    lease_state *find(std::string const &data_centre);

private:
    std::map<std::string, lease_state> states_;
};

} // namespace agateledge

#endif
