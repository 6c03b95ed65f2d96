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

/// Where the order of one engine stands.
enum class order_step
{
    /// The order row is being read or must be read.
    reading,
    /// No order is open.
    idle,
    /// The order row is being written.
    recording,
    /// The order is recorded; the engine still has work.
    draining,
    /// The order was sent; the engine's report has not resolved it.
    sent,
    /// The resolution is being written.
    resolving,
};

/// Order of one engine, as the holder of the lease knows it.
struct order_state
{
    std::string engine;
    order_step step = order_step::reading;
    /// Change to record next.
    std::optional<engine_order> wanted;
    int wanted_tries = 1;
    /// Row as last read or written, or as it is being written.
    order_record record;
    std::uint64_t row_version = 0;
    /// Operation that is under way, if any.
    std::optional<operation_number> operation;
    instant operation_sent_at{};
    /// No read, write or send before this time.
    instant not_before{};
    /// No different order before this time.
    instant quarantined_until{};
    std::optional<instant> drain_started;
    bool moved = false;
    std::optional<instant> last_sent;
    bool accepted = false;
    int failures = 0;
};

/// Notice that an engine is being changed, from the holder of its lease.
struct change_notice
{
    /// Generation that the order expects; the change is over once the engine
    /// reports a higher one.
    std::uint64_t generation = 0;
    instant first_heard{};
    instant heard{};
    bool moved = false;
};

/// Orders of the data centre whose lease this daemon holds, and notices of
/// changes elsewhere.
class order_table
{
public:
    /// Fencing number under which the states were read; 0 for none.
    fencing_number fencing;
    std::uint64_t last_sequence = 0;
    std::map<std::string, order_state> states;
    /// Engines whose step is not `idle`.
    std::set<std::string> active;
    /// Changes by other daemons, by engine.
    std::map<std::string, change_notice> notices;
};

} // namespace agateledge

#endif
