#include "endpoint_table.hpp"

#include <algorithm>

namespace agateledge
{

void endpoint_table::configure(
    std::vector<endpoint_definition> const &definitions)
{
    std::ranges::for_each(states_, [](endpoint_state &state)
                          { state.configured = false; });
    for (auto const &definition : definitions)
    {
        auto const found = find(definition.name);
        auto &state = found ? at(*found) : states_.emplace_back();
        state.definition = definition;
        state.configured = true;
    }
}

std::optional<endpoint_index> endpoint_table::find(std::string_view name) const
{
    auto const found =
        std::ranges::find_if(states_, [name](endpoint_state const &state)
                             { return state.definition.name == name; });
    if (found == states_.end())
    {
        return std::nullopt;
    }
    return endpoint_index(static_cast<std::uint32_t>(found - states_.begin()));
}

} // namespace agateledge
