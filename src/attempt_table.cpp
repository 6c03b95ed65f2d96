#include "attempt_table.hpp"

#include "internal_assert.hpp"

#include <utility>

namespace agateledge
{

attempt_state &attempt_table::add(attempt_state state)
{
    internal_assert(state.engine.has_value() != state.endpoint.has_value(),
                    "attempt ", state.attempt.value(),
                    " needs exactly one of engine and endpoint");
    auto const number = state.attempt;
    auto const [place, added] = states_.emplace(number, std::move(state));
    internal_assert(added, "attempt ", number.value(), " added twice");
    return place->second;
}

attempt_state *attempt_table::find(attempt_number attempt)
{
    auto const found = states_.find(attempt);
    return found == states_.end() ? nullptr : &found->second;
}

void attempt_table::erase(attempt_number attempt)
{
    states_.erase(attempt);
}

attempt_number attempt_table::next_number()
{
    return attempt_number(++last_number_);
}

} // namespace agateledge
