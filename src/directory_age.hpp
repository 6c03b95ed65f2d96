#ifndef AGATELEDGE_DIRECTORY_AGE_HPP
#define AGATELEDGE_DIRECTORY_AGE_HPP

#include "time.hpp"

#include <optional>

namespace agateledge
{

struct world;

/// @return time as of which this daemon knows the directory of instances: when
///         the last answered read was sent, by this daemon or by the one whose
///         report it used; nothing before the first
std::optional<instant> directory_known_at(world const &w);

} // namespace agateledge

#endif
