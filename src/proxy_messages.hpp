#ifndef AGATELEDGE_PROXY_MESSAGES_HPP
#define AGATELEDGE_PROXY_MESSAGES_HPP

#include "body_framing.hpp"
#include "http_head.hpp"
#include "ids.hpp"
#include "result_code.hpp"
#include "shared_text.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// Part of a prompt. Requests that begin with the same parts share a prefix.
struct prompt_part
{
    std::uint64_t id = 0;
    int tokens = 0;

    auto operator<=>(prompt_part const &) const = default;
};

/// Description of the prompt of a model request, as given by the caller. The
/// daemon does not tokenise the text itself.
struct prompt_shape
{
    std::string model;
    int prompt_tokens = 0;
    /// Parts in order; the last one is not shared with other requests.
    std::vector<prompt_part> parts;

    auto operator<=>(prompt_shape const &) const = default;
};

/// Proxied request of a caller, which is forwarded unchanged. Shared between
/// the listener, the tables and the calls.
struct proxy_request
{
    /// Id that the caller assigned to this attempt; identifies the request in
    /// logs and in the replies of instances.
    std::string caller_attempt;
    /// Host name in lower case, without a port.
    std::string host;
    std::string method;
    /// Path with the query, as sent.
    std::string target;
    /// Headers to forward.
    header_list headers;
    std::string content_type;
    shared_text body;
    /// Time after the arrival for which the caller waits; none when the caller
    /// did not state it.
    std::optional<duration> caller_timeout;
    /// Id of the event after which the caller resumes a stream; empty to start
    /// at the beginning.
    std::string resume_after;
    std::optional<prompt_shape> prompt;
    /// Value of the header with the caller's key; empty when there is none.
    std::string credential;

    /// @return the path without the query
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

using proxy_request_ptr = std::shared_ptr<proxy_request const>;

/// A proxied request has arrived.
struct proxy_arrival
{
    request_number request;
    proxy_request_ptr content;
    /// Earliest time at which the request can have reached the daemon.
    instant received_at{};
};

/// The caller closed its connection.
struct proxy_disconnect
{
    request_number request;
};

/// Operation that an instance performs for a request.
enum class proxy_stage
{
    /// Execute the request.
    run,
    /// Prefill only: compute the KV cache of the prompt and keep it for another
    /// engine.
    prefill,
};

/// Request to send to an instance.
struct proxy_call
{
    attempt_number attempt;
    request_number request;
    proxy_request_ptr content;
    std::string instance;
    std::string address;
    proxy_stage stage = proxy_stage::run;
    /// Time that is left for the instance; none when the caller set no limit.
    std::optional<duration> time_left;
    /// Priority at the engine, from 0 (highest) to 9.
    std::optional<int> priority;
    /// Engine address and handle from which the KV cache of the prompt is
    /// fetched; empty for none.
    std::string kv_source_address;
    std::string kv_handle;
    /// Address of an engine whose prefix cache contains a longer prefix of the
    /// prompt, which the called engine copies; empty for none.
    std::string prefix_source_address;
    /// Id of the event after which the stream is resumed; empty to start at the
    /// beginning.
    std::string resume_after;
    duration connect_timeout{};
    /// Time at which the instance was chosen.
    instant placed_at{};
    /// Time as of which the directory was known when the instance was chosen;
    /// nothing when it was never read.
    std::optional<instant> directory_known_at;
    /// The call is not sent at or after this time, because the instance may
    /// have left meanwhile.
    instant send_by = instant::max();
    /// Client account that the instance is told, empty for none; the caller's
    /// key is removed. Without a value, the headers are forwarded unchanged.
    std::optional<std::string> account;
};

/// Cancels a call; its connection is closed immediately.
struct proxy_cancel
{
    attempt_number attempt;
};

/// Frees the KV cache that an engine keeps under a handle.
struct kv_release
{
    std::string address;
    std::string handle;
};

/// Status line and headers of an instance's reply.
struct proxy_reply_head
{
    int status = 0;
    body_framing framing = body_framing::chunked;
    /// Headers to forward to the caller.
    header_list headers;
    /// The instance reports that it did not execute the request.
    bool not_run = false;
    /// The reply does not belong to this request.
    bool mismatched_attempt = false;
    /// The reply has the signature header of an instance.
    bool is_signed = false;
    /// The body is declared as a stream of events.
    bool is_event_stream = false;
    /// The reply came from another instance than the one that was called.
    bool wrong_instance = false;
    /// The instance announces that it leaves.
    bool instance_leaves = false;
    /// Time for which the instance asks for no further requests.
    std::optional<duration> retry_after;
    /// Requests a second that the instance takes from all daemons together.
    std::optional<double> request_limit;
};

enum class proxy_event_kind
{
    /// `head` arrived.
    head,
    /// `bytes` of the body arrived.
    bytes,
    /// The reply is complete.
    finished,
    /// No connection was established, so nothing was sent.
    failed_before_send,
    /// The call failed after part of the request may have been sent.
    failed_after_send,
    /// The connection was closed before the end of the reply's body.
    truncated,
    /// The instance sent bytes that are not an HTTP reply.
    malformed,
};

/// Progress of a call to an instance.
struct proxy_event
{
    attempt_number attempt;
    proxy_event_kind kind = proxy_event_kind::head;
    std::shared_ptr<proxy_reply_head const> head;
    std::string bytes;
};

/// Result of a prefill call, decoded from the complete reply.
struct prefill_result
{
    attempt_number attempt;
    /// Handle of the KV cache; empty when the reply contains none.
    std::string handle;
};

enum class proxy_answer_kind
{
    /// Complete answer of an instance.
    complete,
    /// Status line and headers of a stream.
    begin,
    /// Body bytes of a stream.
    body_chunk,
    /// End of a stream.
    end,
    /// The stream cannot be completed; the connection is closed before its end.
    aborted,
    /// Error answer of the daemon itself; the reason is `code`.
    refused,
};

/// Answer to a caller.
struct proxy_answer
{
    request_number request;
    proxy_answer_kind kind = proxy_answer_kind::complete;
    int status = 200;
    header_list headers;
    std::string bytes;
    result_code code = result_code::ok;
    std::string message;
    /// Time after which the caller may retry; only with `refused`.
    std::optional<duration> retry_after;
    /// The caller is told to use a new connection for its next request.
    bool close_connection = false;
};

} // namespace agateledge

#endif
