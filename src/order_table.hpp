#ifndef AGATELEDGE_ORDER_TABLE_HPP
#define AGATELEDGE_ORDER_TABLE_HPP

#include "ids.hpp"
#include "order_record.hpp"
#include "time.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace agateledge
{

/// Progress of the order of one engine.
enum class order_step
{
    /// The order row is being read, or must be read next.
    reading,
    /// No order is open.
    idle,
    /// The order row is being written.
    recording,
    /// The order is recorded; the engine is finishing its open work.
    draining,
    /// The order was sent; no report of the engine has resolved it yet.
    sent,
    /// The resolution is being written.
    resolving,
};

/// Order of one engine, as known to the holder of the lease.
struct order_state
{
    std::string engine;
    order_step step = order_step::reading;
    /// Requested change that is recorded next.
    std::optional<engine_order> requested;
    int requested_tries = 1;
    /// Content of the row as last read or written, or as being written.
    order_record record;
    std::uint64_t row_version = 0;
    /// Operation of the table service that is in flight, if any.
    std::optional<operation_number> operation;
    instant operation_sent_at{};
    /// End of the back-off; no read, write or send before this time.
    instant not_before{};
    /// No other order is started before this time.
    instant quarantined_until{};
    std::optional<instant> drain_started;
    bool work_moved = false;
    std::optional<instant> last_sent;
    bool accepted = false;
    int failures = 0;
};

/// Notice from the holder of an engine's lease that the engine is being
/// changed.
struct change_notice
{
    /// Generation that the order expects; the change has ended when the engine
    /// reports a higher one.
    std::uint64_t generation = 0;
    /// Time at which the first notice of the change was received.
    instant first_received_at{};
    /// Time at which the holder of the lease last stated the change.
    instant stated_at{};
    bool work_moved = false;
};

/// Orders of the data centre whose lease this daemon holds, and notices of
/// changes by other daemons.
class order_table
{
public:
    /// Fencing number of the lease under which `states` was read; 0 for none.
    fencing_number fencing;
    std::uint64_t last_sequence = 0;
    std::map<std::string, order_state> states;
    /// Engines whose step is not `idle` or that have a requested change.
    std::set<std::string> active;
    /// Notices of changes by other daemons, by engine.
    std::map<std::string, change_notice> notices;
};

} // namespace agateledge

#endif
