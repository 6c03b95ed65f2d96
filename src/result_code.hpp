#ifndef AGATELEDGE_RESULT_CODE_HPP
#define AGATELEDGE_RESULT_CODE_HPP

#include "absl/status/status.h"

#include <string>
#include <string_view>

namespace agateledge
{

/// Result codes in replies to callers and operators and in logs. The numbers
/// are stable; docs/result-codes.md lists them.
enum class result_code
{
    ok = 0,
    invalid_request = 100,
    unauthenticated = 101,
    unknown_model = 102,
    unknown_service = 103,
    unknown_class = 104,
    body_too_large = 105,
    idempotency_key_missing = 106,
    idempotency_key_reused = 107,
    unknown_request = 108,
    unknown_route = 109,
    headers_too_large = 110,
    caller_limit = 200,
    deadline_unreachable = 201,
    queue_full = 202,
    no_endpoint = 203,
    store_unavailable = 204,
    configuration_stale = 205,
    daemon_draining = 206,
    prompt_held = 207,
    outcome_unknown = 300,
    in_progress = 301,
    endpoint_failed = 302,
    retries_exhausted = 303,
    deadline_exceeded = 304,
    revision_conflict = 400,
    invalid_statement = 401,
    invalid_change = 402,
    authority_lost = 403,
    settings_invalid = 500,
    internal_error = 900,
};

/// @return the stable name of `code`, as printed in logs and replies
std::string_view name_of(result_code code);

/// @return true when `code` guarantees that the request was not run and will
///         not be run later, so that a caller may safely repeat it
bool guarantees_not_run(result_code code);

/// @return HTTP status of a reply with `code`
int http_status(result_code code);

/// Builds a status that carries `code` as a payload.
///
/// @param code any code except `ok`
/// @param message human-readable reason, with the relevant values
absl::Status make_status(result_code code, std::string_view message);

/// @return the code that `make_status` stored; `internal_error` for a failed
///         status without one
result_code code_of(absl::Status const &status);

} // namespace agateledge

#endif
