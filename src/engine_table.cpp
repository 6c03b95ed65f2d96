#include "engine_table.hpp"

#include <algorithm>

namespace agateledge
{

void engine_table::configure(std::vector<engine_definition> const &definitions)
{
    std::ranges::for_each(states_, [](engine_state &state)
                          { state.configured = false; });
    for (auto const &definition : definitions)
    {
        auto const found = find(definition.name);
        if (!found)
        {
            engine_index const index(
                static_cast<std::uint32_t>(states_.size()));
            by_name_.emplace(definition.name, index);
            states_.emplace_back().definition = definition;
            continue;
        }
        at(*found).definition = definition;
        at(*found).configured = true;
    }
}

std::optional<engine_index> engine_table::find(std::string_view name) const
{
    auto const found = by_name_.find(std::string(name));
    if (found == by_name_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace agateledge
