#include "event_number.hpp"

#include <charconv>

namespace agateledge
{

std::optional<std::uint64_t> event_number(std::string_view id)
{
    std::uint64_t value = 0;
    auto const [stop, error] =
        std::from_chars(id.data(), id.data() + id.size(), value);
    if (error != std::errc() || stop != id.data() + id.size())
    {
        return std::nullopt;
    }
    return value;
}

} // namespace agateledge
