#ifndef AGATELEDGE_EVENT_NUMBER_HPP
#define AGATELEDGE_EVENT_NUMBER_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace agateledge
{

/// @param id id of a server-sent event
/// @return the number that the id consists of; null when it is not a number
std::optional<std::uint64_t> event_number(std::string_view id);

} // namespace agateledge

#endif
