#ifndef AGATELEDGE_STORE_VIEW_STATE_HPP
#define AGATELEDGE_STORE_VIEW_STATE_HPP

#include "incarnation_deadlines.hpp"
#include "row_messages.hpp"
#include "time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace agateledge
{

/// What a daemon knows of the store beyond the tables themselves.
struct store_view_state
{
    /// Era known when the read in flight, or the last one, was sent, by table.
    std::array<std::uint64_t, polled_table_count> read_eras{};
    /// Highest era in replies to writes; the next tick takes it over.
    std::uint64_t written_era = 0;
    /// Time at which the store was last seen to have returned from a copy.
    std::optional<instant> era_changed_at;
    /// Incarnations whose rows announced that they drain. A copy of the store
    /// may show them as ready again.
    incarnation_deadlines drained;
};

struct world;

/// @return the daemon's state of this kind, which the first call creates
store_view_state &store_view_of(world &w);

} // namespace agateledge

#endif
