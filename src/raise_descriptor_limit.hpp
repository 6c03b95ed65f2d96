#ifndef AGATELEDGE_RAISE_DESCRIPTOR_LIMIT_HPP
#define AGATELEDGE_RAISE_DESCRIPTOR_LIMIT_HPP

namespace agateledge
{

/// Raises the soft limit of open files to the hard limit. Each stream uses two
/// descriptors: the caller's connection and the engine's.
void raise_descriptor_limit();

} // namespace agateledge

#endif
