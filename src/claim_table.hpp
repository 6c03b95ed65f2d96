#ifndef AGATELEDGE_CLAIM_TABLE_HPP
#define AGATELEDGE_CLAIM_TABLE_HPP

#include "claim_row.hpp"
#include "due_queue.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace agateledge
{

enum class claim_step
{
    /// The claim row is being written.
    inserting,
    /// The row is read again, because a write had an unknown outcome.
    reading,
    /// Another call holds the key; its outcome is polled.
    waiting,
    /// The holder has ended; its row is being set to an unknown outcome.
    marking,
    /// This claim holds the row; the call waits for an endpoint or runs.
    held,
    /// The outcome is being written.
    recording,
    /// The row is read to report the outcome to a caller.
    querying,
};

/// Progress of one claim. It outlives its request until the outcome is stored.
struct claim_state
{
    request_number request;
    claim_step step = claim_step::inserting;
    std::string key;
    /// Content of the row while the call is claimed; replaced by `outcome`.
    claim_row row;
    /// Outcome to store; set when the call ends.
    std::optional<claim_row> outcome;
    /// Version of the row that the next write replaces; 0 for an absent row.
    std::uint64_t row_version = 0;
    /// In step `marking`, the row of the ended holder with the state `unknown`.
    claim_row abandoned_row;
    /// Operation of the table service that is in flight; 0 for none.
    operation_number operation;
    /// True when a write of unknown outcome may still take effect.
    bool maybe_written = false;
    /// True once a byte of the call may have been sent.
    bool sent = false;
    /// Consecutive failures of the table service.
    int failures = 0;
    /// Time at which the request is refused unless its claim is held.
    instant deadline{};
};

/// Claims in progress, by request and by operation of the table service.
class claim_table
{
public:
    claim_state &add(claim_state state);

    /// @return the claim of `request`, or null when there is none
    claim_state *find(request_number request);
    claim_state const *find(request_number request) const;

    /// Makes `claim` wait for the reply to `operation`.
    void wait_for(claim_state &claim, operation_number operation);

    /// Ends the wait for the reply to `operation`.
    ///
    /// @return the claim that waited for it, or null when there is none
    claim_state *end_wait(operation_number operation);

    void erase(request_number request);

    std::size_t size() const { return states_.size(); }

    /// Claims by the time of their next operation or deadline.
    due_queue<request_number> due;

private:
    std::unordered_map<request_number, claim_state> states_;
    std::unordered_map<operation_number, request_number> by_operation_;
};

} // namespace agateledge

#endif
