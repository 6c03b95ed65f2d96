#include "instance_table.hpp"

#include <algorithm>

namespace agateledge
{

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
    auto const known = find(definition.id);
    bool const restarted =
        known != nullptr &&
        (known->definition.started_at_ms != definition.started_at_ms ||
         known->definition.address != definition.address);
    bool const moved =
        known != nullptr && known->definition.service != definition.service;
    if (restarted || moved)
    {
        erase(definition.id);
    }
    auto const [place, added] = states_.try_emplace(definition.id);
    auto &state = place->second;
    state.definition = definition;
    state.row_version = row_version;
    state.lapses_at.reset();
    state.address_taken = false;
    if (added)
    {
        auto &ids = by_service_[definition.service];
        ids.insert(std::ranges::lower_bound(ids, definition.id), definition.id);
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
    leave_service(found->second.definition.service, id);
    states_.erase(found);
}

void instance_table::leave_service(std::string const &service,
                                   std::string const &id)
{
    auto &ids = by_service_[service];
    std::erase(ids, id);
    if (ids.empty())
    {
        by_service_.erase(service);
    }
}

std::vector<std::string> const &
instance_table::of_service(std::string const &name) const
{
    static std::vector<std::string> const none;
    auto const found = by_service_.find(name);
    return found == by_service_.end() ? none : found->second;
}

} // namespace agateledge
