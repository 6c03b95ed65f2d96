#include "extract_new_events.hpp"

#include "event_number.hpp"

#include <algorithm>
#include <string_view>

namespace agateledge
{

namespace
{

constexpr std::string_view id_field = "id:";

/// @return length of the first event, including the empty line that ends it, or
///         npos when it is incomplete
std::size_t event_length(std::string_view text)
{
    auto const lf_end = text.find("\n\n");
    auto const crlf_end = text.find("\r\n\r\n");
    if (crlf_end != std::string_view::npos &&
        (lf_end == std::string_view::npos || crlf_end < lf_end))
    {
        return crlf_end + 4;
    }
    return lf_end == std::string_view::npos ? lf_end : lf_end + 2;
}

/// @return value of the event's last `id` field, or an empty text
std::string_view id_of(std::string_view event)
{
    std::string_view id;
    while (!event.empty())
    {
        auto const end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(id_field))
        {
            continue;
        }
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        id = line;
    }
    return id;
}

bool is_duplicate(std::string_view id, std::string_view last_id)
{
    auto const number = event_number(id);
    auto const last = event_number(last_id);
    return number && last && *number <= *last;
}

} // namespace

event_batch extract_new_events(std::string &buffer, std::string &last_id,
                               bool continued)
{
    event_batch out;
    std::string_view rest = buffer;
    auto length = event_length(rest);
    while (length != std::string_view::npos)
    {
        auto const event = rest.substr(0, length);
        auto const id = id_of(event);
        out.unnumbered = continued && !event_number(id);
        if (out.unnumbered)
        {
            break;
        }
        if (!is_duplicate(id, last_id))
        {
            out.text += event;
            if (!id.empty())
            {
                last_id = id;
            }
        }
        rest.remove_prefix(length);
        length = event_length(rest);
    }
    buffer.erase(0, buffer.size() - rest.size());
    return out;
}

} // namespace agateledge
