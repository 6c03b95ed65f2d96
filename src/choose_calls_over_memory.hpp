#ifndef AGATELEDGE_CHOOSE_CALLS_OVER_MEMORY_HPP
#define AGATELEDGE_CHOOSE_CALLS_OVER_MEMORY_HPP

#include "ids.hpp"

#include <vector>

namespace agateledge
{

struct world;

/// Compares the memory of all replies that are kept until they are complete
/// with its limit.
///
/// @return calls to give up, so that the replies to the others fit
std::vector<attempt_number> choose_calls_over_memory(world &w);

} // namespace agateledge

#endif
