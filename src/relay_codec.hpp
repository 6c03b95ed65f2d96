#ifndef AGATELEDGE_RELAY_CODEC_HPP
#define AGATELEDGE_RELAY_CODEC_HPP

#include "cache_messages.hpp"
#include "http_call.hpp"
#include "relay_messages.hpp"
#include "row_messages.hpp"

#include "absl/status/statusor.h"

#include <functional>
#include <string>
#include <string_view>

namespace agateledge
{

/// Request of a caller as it was read from its connection.
struct received_request
{
    std::string method;
    /// Path with the query, as sent.
    std::string target;
    header_list headers;
    shared_text body;
};

/// First line and headers of a reply as they were read.
struct received_head
{
    int status = 0;
    header_list headers;
};

/// Translates between the wire of the platform and the types of the product.
/// Every hook is a pure function of its arguments.
struct relay_codec
{
    /// Request of a caller; `invalid_request` for one that cannot be passed on.
    std::function<absl::StatusOr<relay_request>(received_request const &)>
        decode_request;

    /// Headers that the daemon's own answer to a caller carries.
    std::function<header_list(relay_answer const &)> own_answer_headers;

    /// Call to an instance.
    std::function<http_request(relay_call const &)> encode_call;

    /// Head of an instance's reply to `call`.
    std::function<relay_reply_head(relay_call const &, received_head const &)>
        decode_head;

    /// Handle in the whole reply to a prefill call; empty when there is none.
    std::function<std::string(std::string_view body)> decode_prefill;

    /// Release of a KV cache that an engine keeps.
    std::function<http_request(kv_release const &)> encode_release;

    /// Read of an engine's cache changes.
    std::function<http_request(cache_read const &)> encode_cache_read;

    /// Reply to a read; `status` is 0 for none.
    std::function<cache_read_reply(cache_read const &, int status,
                                   std::string_view body)>
        decode_cache_read;

    std::function<http_request(row_read const &)> encode_row_read;

    std::function<row_read_reply(row_read const &, int status,
                                 std::string_view body)>
        decode_row_read;

    std::function<http_request(daemon_row_write const &)> encode_daemon_row;

    /// Path under which the balancer asks whether the daemon takes requests.
    std::string readiness_path;
};

} // namespace agateledge

#endif
