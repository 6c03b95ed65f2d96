#include "prompt_parts.hpp"

#include "proxy_messages.hpp"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace agateledge
{

std::vector<std::uint64_t> shared_parts_of(proxy_request const &request)
{
    std::vector<std::uint64_t> out;
    auto const &prompt = request.prompt;
    if (prompt && prompt->parts.size() > 1)
    {
        std::transform(prompt->parts.begin(), std::prev(prompt->parts.end()),
                       std::back_inserter(out),
                       [](prompt_part const &part) { return part.id; });
    }
    return out;
}

std::uint64_t prompt_key_of(proxy_request const &request)
{
    auto const &prompt = request.prompt;
    return prompt && !prompt->parts.empty() ? prompt->parts.back().id : 0;
}

std::string part_ids_text(std::vector<std::uint64_t> const &parts)
{
    std::ostringstream out;
    out << std::hex;
    std::ranges::for_each(parts, [&out](std::uint64_t part)
                          { out << (out.tellp() > 0 ? "," : "") << part; });
    return out.str();
}

} // namespace agateledge
