#ifndef AGATELEDGE_RAISE_DESCRIPTOR_LIMIT_HPP
#define AGATELEDGE_RAISE_DESCRIPTOR_LIMIT_HPP

namespace agateledge
{

/// Raises this process's own limit of open files to the most that the system
/// allows it. A stream takes two: the caller's and the engine's connection.
void raise_descriptor_limit();

} // namespace agateledge

#endif
