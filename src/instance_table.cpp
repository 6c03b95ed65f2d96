#include "instance_table.hpp"

#include "exchange_loads.hpp"

#include <algorithm>
#include <cmath>

namespace agateledge
{

namespace
{

/// Half-life of the weight of an instance's past results.
constexpr double health_half_life_s = 4;

std::string const &id_of(instance_state const *instance)
{
    return instance->definition.id;
}

} // namespace

call_results instance_health::results_at(instant now) const
{
    auto const decay =
        std::exp2(-to_seconds(now - counted_at) / health_half_life_s);
    return {results.succeeded * decay, results.failed * decay};
}

instance_state *instance_table::find(std::string const &id)
{
    auto const found = states_.find(id);
    return found == states_.end() ? nullptr : &found->second;
}

instance_state const *instance_table::find(std::string const &id) const
{
    auto const found = states_.find(id);
    return found == states_.end() ? nullptr : &found->second;
}

instance_state &instance_table::put(instance_definition const &definition,
                                    std::uint64_t row_version)
{
    auto const existing = find(definition.id);
    bool const restarted =
        existing != nullptr &&
        (existing->definition.started_at_ms != definition.started_at_ms ||
         existing->definition.address != definition.address);
    bool const moved = existing != nullptr &&
                       existing->definition.service != definition.service;
    if (restarted || moved)
    {
        erase(definition.id);
    }
    auto const [entry, added] = states_.try_emplace(definition.id);
    auto &state = entry->second;
    state.definition = definition;
    state.row_version = row_version;
    state.expires_at.reset();
    state.missing_as_of = 0;
    state.address_reused = false;
    if (added)
    {
        state.load_key = load_key_of(definition);
        auto &others = by_service_[definition.service];
        others.insert(
            std::ranges::lower_bound(others, definition.id, {}, id_of), &state);
    }
    return state;
}

void instance_table::erase(std::string const &id)
{
    auto const found = states_.find(id);
    if (found == states_.end())
    {
        return;
    }
    remove_from_service(found->second);
    states_.erase(found);
}

void instance_table::remove_from_service(instance_state const &state)
{
    auto const found = by_service_.find(state.definition.service);
    std::erase(found->second, &state);
    if (found->second.empty())
    {
        by_service_.erase(found);
    }
}

std::vector<instance_state const *> const &
instance_table::of_service(std::string const &name) const
{
    static std::vector<instance_state const *> const no_instances;
    auto const found = by_service_.find(name);
    return found == by_service_.end() ? no_instances : found->second;
}

} // namespace agateledge
