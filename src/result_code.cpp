#include "result_code.hpp"

#include "internal_assert.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace agateledge
{

namespace
{

constexpr char const *payload_type = "agateledge/result-code";

struct code_row
{
    result_code code;
    std::string_view name;
    int http_status_code;
    bool not_run;
    absl::StatusCode status;
};

using absl::StatusCode;

constexpr std::array code_rows{
    code_row{result_code::ok, "ok", 200, false, StatusCode::kOk},
    code_row{result_code::invalid_request, "invalid_request", 400, true,
             StatusCode::kInvalidArgument},
    code_row{result_code::unauthenticated, "unauthenticated", 401, true,
             StatusCode::kUnauthenticated},
    code_row{result_code::unknown_model, "unknown_model", 404, true,
             StatusCode::kNotFound},
    code_row{result_code::unknown_service, "unknown_service", 404, true,
             StatusCode::kNotFound},
    code_row{result_code::unknown_class, "unknown_class", 400, true,
             StatusCode::kInvalidArgument},
    code_row{result_code::body_too_large, "body_too_large", 413, true,
             StatusCode::kInvalidArgument},
    code_row{result_code::idempotency_key_missing, "idempotency_key_missing",
             400, true, StatusCode::kInvalidArgument},
    code_row{result_code::idempotency_key_reused, "idempotency_key_reused", 409,
             true, StatusCode::kAlreadyExists},
    code_row{result_code::unknown_request, "unknown_request", 404, false,
             StatusCode::kNotFound},
    code_row{result_code::unknown_route, "unknown_route", 404, true,
             StatusCode::kNotFound},
    code_row{result_code::headers_too_large, "headers_too_large", 431, true,
             StatusCode::kInvalidArgument},
    code_row{result_code::caller_limit, "caller_limit", 429, true,
             StatusCode::kResourceExhausted},
    code_row{result_code::deadline_unreachable, "deadline_unreachable", 503,
             true, StatusCode::kResourceExhausted},
    code_row{result_code::queue_full, "queue_full", 503, true,
             StatusCode::kResourceExhausted},
    code_row{result_code::no_endpoint, "no_endpoint", 503, true,
             StatusCode::kUnavailable},
    code_row{result_code::store_unavailable, "store_unavailable", 503, true,
             StatusCode::kUnavailable},
    code_row{result_code::configuration_stale, "configuration_stale", 503, true,
             StatusCode::kUnavailable},
    code_row{result_code::daemon_draining, "daemon_draining", 503, true,
             StatusCode::kUnavailable},
    code_row{result_code::prompt_held, "prompt_held", 503, true,
             StatusCode::kUnavailable},
    code_row{result_code::outcome_unknown, "outcome_unknown", 504, false,
             StatusCode::kUnknown},
    code_row{result_code::in_progress, "in_progress", 409, false,
             StatusCode::kAborted},
    code_row{result_code::endpoint_failed, "endpoint_failed", 502, false,
             StatusCode::kUnavailable},
    code_row{result_code::retries_exhausted, "retries_exhausted", 502, false,
             StatusCode::kUnavailable},
    code_row{result_code::deadline_exceeded, "deadline_exceeded", 504, false,
             StatusCode::kDeadlineExceeded},
    code_row{result_code::revision_conflict, "revision_conflict", 409, true,
             StatusCode::kAborted},
    code_row{result_code::invalid_statement, "invalid_statement", 400, true,
             StatusCode::kInvalidArgument},
    code_row{result_code::invalid_change, "invalid_change", 400, true,
             StatusCode::kFailedPrecondition},
    code_row{result_code::authority_lost, "authority_lost", 409, true,
             StatusCode::kFailedPrecondition},
    code_row{result_code::settings_invalid, "settings_invalid", 400, true,
             StatusCode::kInvalidArgument},
    code_row{result_code::internal_error, "internal_error", 500, false,
             StatusCode::kInternal},
};

code_row const &find_row(result_code code)
{
    auto const found = std::ranges::find(code_rows, code, &code_row::code);
    internal_assert(found != code_rows.end(), "no row for result code ",
                    static_cast<int>(code));
    return *found;
}

} // namespace

std::string_view name_of(result_code code)
{
    return find_row(code).name;
}

bool guarantees_not_run(result_code code)
{
    return find_row(code).not_run;
}

int http_status(result_code code)
{
    return find_row(code).http_status_code;
}

absl::Status make_status(result_code code, std::string_view message)
{
    absl::Status status(find_row(code).status,
                        absl::string_view(message.data(), message.size()));
    status.SetPayload(payload_type,
                      absl::Cord(std::to_string(static_cast<int>(code))));
    return status;
}

result_code code_of(absl::Status const &status)
{
    if (status.ok())
    {
        return result_code::ok;
    }
    auto const payload = status.GetPayload(payload_type);
    if (!payload)
    {
        return result_code::internal_error;
    }
    return static_cast<result_code>(std::stoi(std::string(*payload)));
}

} // namespace agateledge
