#include "request_table.hpp"

#include "internal_assert.hpp"

#include <utility>

namespace agateledge
{

request_state &request_table::add(request_state state)
{
    auto const number = state.arrival.request;
    auto const [place, added] = states_.emplace(number, std::move(state));
    internal_assert(added, "request ", number.value(), " added twice");
    return place->second;
}

request_state *request_table::find(request_number request)
{
    auto const found = states_.find(request);
    return found == states_.end() ? nullptr : &found->second;
}

request_state const *request_table::find(request_number request) const
{
    auto const found = states_.find(request);
    return found == states_.end() ? nullptr : &found->second;
}

void request_table::erase(request_number request)
{
    states_.erase(request);
}

} // namespace agateledge
