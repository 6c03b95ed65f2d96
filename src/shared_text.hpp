#ifndef AGATELEDGE_SHARED_TEXT_HPP
#define AGATELEDGE_SHARED_TEXT_HPP

#include <memory>
#include <string>

namespace agateledge
{

/// Body shared between the listener, the tables and the calls without copies.
using shared_text = std::shared_ptr<std::string const>;

} // namespace agateledge

#endif
