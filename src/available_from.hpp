#ifndef AGATELEDGE_AVAILABLE_FROM_HPP
#define AGATELEDGE_AVAILABLE_FROM_HPP

#include "time.hpp"

namespace agateledge
{

struct instance_state;
struct world;

/// @param w state of the daemon
/// @param instance a listed instance
/// @return earliest time at which the instance may get new requests of this
///         daemon; `w.now` when it may get them at once, and `instant::max()`
///         when its incarnation takes no more
instant available_from(world const &w, instance_state const &instance);

} // namespace agateledge

#endif
