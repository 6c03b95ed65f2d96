#ifndef AGATELEDGE_PROXY_CODEC_HPP
#define AGATELEDGE_PROXY_CODEC_HPP

#include "cache_messages.hpp"
#include "http_call.hpp"
#include "proxy_messages.hpp"
#include "row_messages.hpp"

#include "absl/status/statusor.h"

#include <functional>
#include <string>
#include <string_view>

namespace agateledge
{

struct engine_role_order;
struct platform_call;
struct platform_reply;
struct row_transaction;
struct row_transaction_reply;

/// Request of a caller, as received.
struct received_request
{
    std::string method;
    /// Path with the query, as sent.
    std::string target;
    header_list headers;
    shared_text body;
};

/// Status line and headers of a reply, as received.
struct received_head
{
    int status = 0;
    header_list headers;
};

/// Translates between the platform's wire formats and the types of this
/// library. Every hook is a pure function of its arguments.
struct proxy_codec
{
    /// Decodes a request of a caller; `invalid_request` when it cannot be
    /// forwarded.
    std::function<absl::StatusOr<proxy_request>(received_request const &)>
        decode_request;

    /// Headers of an answer that the daemon itself generates.
    std::function<header_list(proxy_answer const &)> local_answer_headers;

    /// Encodes a call to an instance.
    std::function<http_request(proxy_call const &)> encode_call;

    /// Decodes the head of an instance's reply to the call.
    std::function<proxy_reply_head(proxy_call const &, received_head const &)>
        decode_head;

    /// Extracts the handle of the KV cache from the complete reply to a prefill
    /// call; empty when there is none.
    std::function<std::string(std::string_view body)> decode_prefill;

    /// Encodes the release of a KV cache that an engine keeps.
    std::function<http_request(kv_release const &)> encode_release;

    /// Encodes a read of an engine's cache changes.
    std::function<http_request(cache_read const &)> encode_cache_read;

    /// Decodes the reply to such a read; `status` is 0 without a reply.
    std::function<cache_read_reply(cache_read const &, int status,
                                   std::string_view body)>
        decode_cache_read;

    /// Encodes a read of a table of the store.
    std::function<http_request(row_read const &)> encode_row_read;

    /// Decodes the reply to such a read; `status` is 0 without a reply.
    std::function<row_read_reply(row_read const &, int status,
                                 std::string_view body)>
        decode_row_read;

    /// Encodes a write of the daemon's own row.
    std::function<http_request(daemon_row_write const &)> encode_daemon_row;

    /// Extracts the era of the store from the headers of any of its replies; 0
    /// when there is none.
    std::function<std::uint64_t(header_list const &)> decode_store_era;

    /// Encodes an order that changes the role of an engine.
    std::function<http_request(engine_role_order const &)> encode_role_order;

    /// Encodes a transaction on the system's own rows.
    std::function<http_request(row_transaction const &)> encode_row_transaction;

    /// Decodes the reply to such a transaction; `status` is 0 without a reply.
    std::function<row_transaction_reply(row_transaction const &, int status,
                                        std::string_view body)>
        decode_row_transaction;

    /// Encodes a call to the platform's service interface.
    std::function<http_request(platform_call const &)> encode_platform_call;

    /// Decodes the reply to such a call; `status` is 0 without a reply.
    std::function<platform_reply(platform_call const &, int status)>
        decode_platform_reply;

    /// Path of the readiness check that the load balancer uses.
    std::string readiness_path;
};

} // namespace agateledge

#endif
