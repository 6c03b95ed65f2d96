#ifndef AGATELEDGE_RELAY_MESSAGES_HPP
#define AGATELEDGE_RELAY_MESSAGES_HPP

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
#include <utility>
#include <vector>

namespace agateledge
{

/// Headers in their order; names may repeat.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Part of a prompt that several requests may begin with.
struct prompt_part
{
    std::uint64_t id = 0;
    int tokens = 0;

    auto operator<=>(prompt_part const &) const = default;
};

/// Prompt of a model request; the daemon never sees its text as tokens.
struct prompt_shape
{
    std::string model;
    int prompt_tokens = 0;
    /// Parts in order; the last one belongs to the request alone.
    std::vector<prompt_part> parts;

    auto operator<=>(prompt_shape const &) const = default;
};

/// Request of a caller that is passed on unchanged. Shared between the
/// listener, the tables and the calls.
struct relay_request
{
    /// Id that the caller gave to this attempt of its own; names the request
    /// in logs and in the replies of instances.
    std::string caller_attempt;
    /// Host name in lower case, without a port.
    std::string host;
    std::string method;
    /// Path with the query, as sent.
    std::string target;
    /// Headers to pass on.
    header_list headers;
    std::string content_type;
    shared_text body;
    /// Time for which the caller waits, from the arrival; none when not told.
    std::optional<duration> patience;
    /// Event after which the caller resumes a stream; empty for its begin.
    std::string resume_after;
    std::optional<prompt_shape> prompt;

    /// @return the path without the query
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

using relay_request_ptr = std::shared_ptr<relay_request const>;

struct relay_arrival
{
    request_number request;
    relay_request_ptr content;
    instant arrived_at{};
};

/// The caller closed its connection.
struct relay_departure
{
    request_number request;
};

/// What an instance is asked to do with a request.
enum class relay_stage
{
    /// Run the request.
    run,
    /// Read the prompt and keep its KV cache for another engine.
    prefill,
};

/// Request to send to an instance.
struct relay_call
{
    attempt_number attempt;
    request_number request;
    relay_request_ptr content;
    std::string instance;
    std::string address;
    relay_stage stage = relay_stage::run;
    /// Time that the instance may take; none when the caller set no bound.
    std::optional<duration> time_left;
    /// Rank at the engine, from 0, the most urgent, to 9.
    std::optional<int> priority;
    /// Where the prompt's KV cache is fetched from: address of the engine and
    /// handle; empty for none.
    std::string kv_source_address;
    std::string kv_handle;
    /// Address of an engine whose cache holds more of the prompt; the called
    /// engine copies that part. Empty for none.
    std::string prefix_source_address;
    /// Event after which the stream goes on; empty for its begin.
    std::string resume_after;
    duration connect_timeout{};
};

/// Ends a call; its connection is closed at once.
struct relay_cancel
{
    attempt_number attempt;
};

/// Frees the KV cache that an engine keeps under a handle.
struct kv_release
{
    std::string address;
    std::string handle;
};

/// First line and headers of an instance's reply.
struct relay_reply_head
{
    int status = 0;
    /// Headers to pass on to the caller.
    header_list headers;
    /// The instance states that it did not run the request.
    bool not_run = false;
    /// The reply belongs to another request.
    bool foreign = false;
    /// The reply bears the instance's signature.
    bool is_signed = false;
    /// The instance that replied is another than the one that was called.
    bool wrong_instance = false;
};

enum class relay_event_kind
{
    /// `head` arrived.
    head,
    /// `bytes` of the body arrived.
    bytes,
    /// The reply is complete.
    finished,
    /// No connection was made, so that nothing was sent.
    failed_before_send,
    /// The call failed after bytes may have been sent.
    failed_after_send,
};

/// Progress of a call to an instance.
struct relay_event
{
    attempt_number attempt;
    relay_event_kind kind = relay_event_kind::head;
    std::shared_ptr<relay_reply_head const> head;
    std::string bytes;
};

/// Result of a prefill call, decoded from its whole reply.
struct prefill_result
{
    attempt_number attempt;
    /// Empty when the reply could not be read.
    std::string handle;
};

enum class relay_answer_kind
{
    /// Whole answer of an instance.
    whole,
    /// First line and headers of a stream.
    begin,
    /// Bytes of a stream.
    part,
    /// End of a stream.
    end,
    /// The stream cannot be completed; the connection is cut.
    cut,
    /// The daemon's own failure, by `code`.
    refused,
};

/// Answer to a caller.
struct relay_answer
{
    request_number request;
    relay_answer_kind kind = relay_answer_kind::whole;
    int status = 200;
    header_list headers;
    std::string bytes;
    result_code code = result_code::ok;
    std::string message;
    /// When the caller may try again, with a refusal.
    std::optional<duration> retry_after;
    /// The caller is asked to use another connection next.
    bool close_connection = false;
};

} // namespace agateledge

#endif
