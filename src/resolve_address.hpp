#ifndef AGATELEDGE_RESOLVE_ADDRESS_HPP
#define AGATELEDGE_RESOLVE_ADDRESS_HPP

#include <string>

namespace agateledge
{

/// Replaces a host name by its first IP address. Blocks while it is looked up,
/// so that only command-line programs may call it.
///
/// @param text host name or IP address, and port
/// @return IP address and port; `text` when it cannot be resolved
std::string resolve_address(std::string const &text);

} // namespace agateledge

#endif
