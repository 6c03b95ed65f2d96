#include "claim_table.hpp"

#include "internal_assert.hpp"

#include <utility>

namespace agateledge
{

claim_state &claim_table::add(claim_state state)
{
    auto const number = state.request;
    auto const [place, added] = states_.emplace(number, std::move(state));
    internal_assert(added, "claim of request ", number.value(), " added twice");
    return place->second;
}

claim_state *claim_table::find(request_number request)
{
    auto const found = states_.find(request);
    return found == states_.end() ? nullptr : &found->second;
}

claim_state const *claim_table::find(request_number request) const
{
    auto const found = states_.find(request);
    return found == states_.end() ? nullptr : &found->second;
}

void claim_table::wait_for(claim_state &claim, operation_number operation)
{
    internal_assert(claim.operation.value() == 0, "claim ", claim.row.attempt,
                    " already waits for an operation");
    claim.operation = operation;
    by_operation_.emplace(operation, claim.request);
}

claim_state *claim_table::end_wait(operation_number operation)
{
    auto const found = by_operation_.find(operation);
    if (found == by_operation_.end())
    {
        return nullptr;
    }
    auto *claim = find(found->second);
    by_operation_.erase(found);
    claim->operation = operation_number();
    return claim;
}

void claim_table::erase(request_number request)
{
    auto const *claim = find(request);
    if (claim != nullptr)
    {
        by_operation_.erase(claim->operation);
        states_.erase(request);
    }
}

} // namespace agateledge
