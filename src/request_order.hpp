#ifndef AGATELEDGE_REQUEST_ORDER_HPP
#define AGATELEDGE_REQUEST_ORDER_HPP

#include "engine_order.hpp"

namespace agateledge
{

struct world;

/// Asks for a change of an engine. The change becomes an order only while this
/// daemon holds the lease of the engine's data centre and no other order for
/// the engine is open; otherwise the request has no effect.
///
/// @param w the daemon
/// @param wanted engine, kind and target of the change; the identifier, the
///        fencing number and the expected generation are filled in
/// @return true when the change was taken up
bool request_order(world &w, engine_order const &wanted);

} // namespace agateledge

#endif
