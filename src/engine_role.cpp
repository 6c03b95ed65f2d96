#include "engine_role.hpp"

#include <algorithm>
#include <array>

namespace agateledge
{

namespace
{

constexpr std::array roles{engine_role::mixed, engine_role::prefill,
                           engine_role::decode};

} // namespace

std::string_view name_of(engine_role role)
{
    switch (role)
    {
    case engine_role::mixed:
        return "mixed";
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    }
    return "unknown";
}

std::optional<engine_role> parse_engine_role(std::string_view name)
{
    auto const found = std::ranges::find(
        roles, name, [](engine_role role) { return name_of(role); });
    if (found == roles.end())
    {
        return std::nullopt;
    }
    return *found;
}

} // namespace agateledge
