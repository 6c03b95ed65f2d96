#include "request_id.hpp"

#include "gobject_ptr.hpp"
#include "signing_keys.hpp"

#include <charconv>

namespace agateledge
{

namespace
{

/// Largest accepted offset, in tokens.
constexpr int max_offset = 10'000'000;

std::string escape(std::string const &part)
{
    gchar_ptr const text(g_uri_escape_string(part.c_str(), ":", FALSE));
    return text.get();
}

std::optional<std::string> unescape(std::string_view part)
{
    gchar_ptr const text(g_uri_unescape_segment(
        part.data(), part.data() + part.size(), nullptr));
    return text ? std::optional<std::string>(text.get()) : std::nullopt;
}

std::string signed_text(std::string_view parts, std::string_view caller)
{
    return std::string(parts) + "/" + std::string(caller);
}

/// Removes the last `separator` and the part after it from `text`.
///
/// @return the removed part, or nothing if there is no separator
std::optional<std::string_view> split_last(std::string_view &text,
                                           char separator)
{
    auto const position = text.rfind(separator);
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const part = text.substr(position + 1);
    text = text.substr(0, position);
    return part;
}

std::optional<int> offset_of(std::string_view text)
{
    int offset = 0;
    auto const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, offset);
    bool const valid = error == std::errc() && stop == end && offset >= 0 &&
                       offset <= max_offset;
    return valid ? std::optional(offset) : std::nullopt;
}

} // namespace

std::string sign_request_id(request_id const &id, std::string_view caller,
                            signing_keys const &keys)
{
    auto const parts = escape(id.data_centre) + "/" + escape(id.engine) + "/" +
                       escape(id.stream_key);
    return parts + "/" + keys.sign(signed_text(parts, caller));
}

std::optional<resume_point> resume_point_of(std::string_view text,
                                            std::string_view caller,
                                            signing_keys const &keys)
{
    auto const offset_text = split_last(text, ':');
    auto const offset = offset_text ? offset_of(*offset_text) : std::nullopt;
    auto const signature = split_last(text, '/');
    if (!offset || !signature ||
        !keys.verify(signed_text(text, caller), *signature))
    {
        return std::nullopt;
    }
    auto const key = split_last(text, '/');
    auto const engine = split_last(text, '/');
    auto const key_text = key ? unescape(*key) : std::nullopt;
    auto const engine_text = engine ? unescape(*engine) : std::nullopt;
    if (!key_text || !engine_text)
    {
        return std::nullopt;
    }
    return resume_point{*key_text, *engine_text, *offset};
}

} // namespace agateledge
