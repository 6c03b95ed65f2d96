#ifndef AGATELEDGE_NEXT_AVAILABLE_INSTANCE_HPP
#define AGATELEDGE_NEXT_AVAILABLE_INSTANCE_HPP

#include <string>

namespace agateledge
{

struct instance_state;
struct world;

/// @param w state of the daemon
/// @param service name of the service
/// @return the instance of the service that is the first to be available, see
///         `available_from`; null when none takes work. Engines that only
///         prefill are left out, because they cannot answer a request.
instance_state const *next_available_instance(world const &w,
                                              std::string const &service);

} // namespace agateledge

#endif
