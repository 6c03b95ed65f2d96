#ifndef AGATELEDGE_CLAIM_ROW_HPP
#define AGATELEDGE_CLAIM_ROW_HPP

#include <compare>
#include <optional>
#include <string>

namespace agateledge
{

struct request_arrival;

/// Recorded state of a non-idempotent call.
enum class claim_row_state
{
    /// The holder may have sent the call, or may still send it.
    claimed,
    /// The endpoint answered; the row has the answer.
    done,
    /// The call may have had an effect; it is never sent again.
    unknown,
    /// The holder did not send the call and never will; another call may claim
    /// the row.
    not_run,
};

/// Row of a non-idempotent call in the table service.
struct claim_row
{
    /// Identifier of the claim that wrote the row:
    /// "<daemon>:<incarnation>:<request>".
    std::string attempt;
    /// Hash of method, path and body; distinguishes a repeated call from a
    /// different call with the same key.
    std::string fingerprint;
    claim_row_state state = claim_row_state::claimed;
    /// Answer of the endpoint, in state `done`.
    int http_status = 0;
    std::string body;

    auto operator<=>(claim_row const &) const = default;
};

/// @return key of the row: "claim/<service>/<caller>/<hash of the idempotency
///         key>"
std::string claim_key_of(request_arrival const &arrival);

/// @return the fingerprint of a call
std::string fingerprint_of(request_arrival const &arrival);

/// @return `row` as a JSON document
std::string claim_row_to_text(claim_row const &row);

/// @return the row, or nothing when `text` is not the document of a claim row
std::optional<claim_row> claim_row_from_text(std::string const &text);

} // namespace agateledge

#endif
