#ifndef AGATELEDGE_APPLY_CONFIGURATION_HPP
#define AGATELEDGE_APPLY_CONFIGURATION_HPP

namespace agateledge
{

struct configuration;
struct world;

/// Puts a configuration in force if its revision is higher than the current
/// one. The revision in force never goes back.
///
/// @return true when the configuration is now in force
bool put_in_force(world &w, configuration const &config);

} // namespace agateledge

#endif
