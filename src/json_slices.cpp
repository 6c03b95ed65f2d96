#include "json_slices.hpp"

#include <algorithm>
#include <cstddef>
#include <string>

namespace agateledge
{

namespace
{

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// @param begin position of the opening quote
/// @return position of the closing quote, or of the end of the text
std::size_t string_end(std::string_view text, std::size_t begin)
{
    auto at = begin + 1;
    while (at < text.size() && text[at] != '"')
    {
        at += text[at] == '\\' ? 2 : 1;
    }
    return std::min(at, text.size());
}

/// @return position of the next `separator` from `begin` on that is outside
///         strings, arrays and objects, or of the end of the text
std::size_t find_outside(std::string_view text, std::size_t begin,
                         char separator)
{
    std::size_t depth = 0;
    for (auto at = begin; at < text.size(); ++at)
    {
        auto const byte = text[at];
        if (depth == 0 && byte == separator)
        {
            return at;
        }
        if (byte == '"')
        {
            at = string_end(text, at);
        }
        else if (byte == '[' || byte == '{')
        {
            ++depth;
        }
        else if ((byte == ']' || byte == '}') && depth > 0)
        {
            --depth;
        }
    }
    return text.size();
}

/// @return the parts of an array or object between its commas, or nothing when
///         `text` does not begin with `open` and end with `close`
std::optional<std::vector<std::string_view>> parts_of(std::string_view text,
                                                      char open, char close)
{
    auto const trimmed = trim(text);
    if (trimmed.size() < 2 || trimmed.front() != open ||
        trimmed.back() != close)
    {
        return std::nullopt;
    }
    auto const inner = trim(trimmed.substr(1, trimmed.size() - 2));
    std::vector<std::string_view> parts;
    for (std::size_t at = 0; at < inner.size();)
    {
        auto const end = find_outside(inner, at, ',');
        parts.push_back(trim(inner.substr(at, end - at)));
        at = end + 1;
    }
    return parts;
}

} // namespace

std::optional<std::string_view> json_member(std::string_view text,
                                            std::string_view name)
{
    auto const members = parts_of(text, '{', '}');
    if (!members)
    {
        return std::nullopt;
    }
    auto const quoted = '"' + std::string(name) + '"';
    for (auto const member : *members)
    {
        auto const colon = find_outside(member, 0, ':');
        if (colon < member.size() && trim(member.substr(0, colon)) == quoted)
        {
            return trim(member.substr(colon + 1));
        }
    }
    return std::nullopt;
}

std::optional<std::vector<std::string_view>>
json_elements(std::string_view text)
{
    return parts_of(text, '[', ']');
}

} // namespace agateledge
