#ifndef AGATELEDGE_SHARED_TEXT_HPP
#define AGATELEDGE_SHARED_TEXT_HPP

#include <memory>
#include <string>

namespace agateledge
{

/// Immutable body that the listener, the tables and the calls share without
/// copying it.
using shared_text = std::shared_ptr<std::string const>;

} // namespace agateledge

#endif
