#ifndef AGATELEDGE_REQUEST_ORDER_HPP
#define AGATELEDGE_REQUEST_ORDER_HPP

#include "engine_order.hpp"

namespace agateledge
{

struct world;

/// Requests a change of an engine. The change becomes an order only while this
/// daemon holds the lease of the engine's data centre and no other order for
/// the engine is open; otherwise the request has no effect.
///
/// @param w the daemon
/// @param wanted engine, kind and target of the change; its
///        identifier, fencing number and expected generation are set when it
///        is recorded
/// @return true when the request was accepted
bool request_order(world &w, engine_order const &wanted);

} // namespace agateledge

#endif
