#ifndef AGATELEDGE_MODEL_REQUEST_HPP
#define AGATELEDGE_MODEL_REQUEST_HPP

#include "inbox.hpp"

#include "absl/status/statusor.h"

#include <string_view>

namespace agateledge
{

/// Format of a model request and of its answer.
enum class completion_kind
{
    /// POST /v1/chat/completions
    chat,
    /// POST /v1/completions
    text,
};

/// Model request as the caller sent it.
struct model_request
{
    /// Without the request number, the class and the resume point.
    request_arrival arrival;
    /// True when the answer is sent as server-sent events.
    bool stream = false;
    /// True when the last event of a stream carries the token usage.
    bool include_usage = false;
};

/// Reads the body of a model request.
///
/// @param kind endpoint that received the request
/// @param body JSON document
/// @param caller authenticated caller
/// @return the request, or `invalid_request` that names the invalid member
absl::StatusOr<model_request> parse_model_request(completion_kind kind,
                                                  std::string_view body,
                                                  std::string const &caller);

} // namespace agateledge

#endif
