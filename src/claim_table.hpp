#ifndef AGATELEDGE_CLAIM_TABLE_HPP
#define AGATELEDGE_CLAIM_TABLE_HPP

#include "ids.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace agateledge
{

enum class claim_step
{
    /// The claim row is being inserted.
    inserting,
    /// The row is read again, because the answer to the insert was lost or
    /// another call holds the key.
    reading,
    /// The claim is ours and the call runs.
    calling,
    /// The outcome is being written.
    recording,
};

/// Progress of one non-idempotent call.
struct claim_state
{
    request_number request;
    claim_step step = claim_step::inserting;
    std::string key;
    /// Identifies this claim in the row.
    std::string attempt_id;
    std::uint64_t row_version = 0;
};

/// Claims in progress by table operation.
class claim_table
{
public:
    void add(operation_number operation, claim_state state)
    {
        states_.insert_or_assign(operation, std::move(state));
    }

    /// Removes and returns the claim that waits for `operation`.
    std::optional<claim_state> take(operation_number operation)
    {
        auto const found = states_.find(operation);
        if (found == states_.end())
        {
            return std::nullopt;
        }
        auto state = std::move(found->second);
        states_.erase(found);
        return state;
    }

private:
    std::unordered_map<operation_number, claim_state> states_;
};

} // namespace agateledge

#endif
