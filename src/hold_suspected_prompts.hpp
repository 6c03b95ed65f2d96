#ifndef AGATELEDGE_HOLD_SUSPECTED_PROMPTS_HPP
#define AGATELEDGE_HOLD_SUSPECTED_PROMPTS_HPP

#include "ids.hpp"

namespace agateledge
{

struct world;

/// Ends a request that must not be sent to an engine because a part of its
/// prompt is suspected of crashing engines: refused as not run if no engine ran
/// it, failed otherwise.
///
/// @return true when the request was ended
bool hold_if_suspected(world &w, request_number number);

/// Ends the open requests whose prompts new evidence has made suspected and
/// whose answers have not begun, before they crash further engines.
void hold_suspected_prompts(world &w);

} // namespace agateledge

#endif
