#ifndef AGATELEDGE_INBOX_HPP
#define AGATELEDGE_INBOX_HPP

#include "cache_messages.hpp"
#include "engine_order.hpp"
#include "heartbeat.hpp"
#include "ids.hpp"
#include "part_evidence_report.hpp"
#include "peer_load_report.hpp"
#include "proxy_messages.hpp"
#include "row_messages.hpp"
#include "shared_text.hpp"
#include "table_call.hpp"
#include "time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

struct account_load_report;
struct engine_role_reply;
struct platform_reply;
struct row_transaction_reply;
struct store_view_report;
struct usage_snapshot;

/// Position at which an interrupted answer is resumed, taken from the signed
/// request id and the offset in the caller's `Last-Event-ID`.
struct resume_point
{
    /// Stream key of the engine's stream; see `stream_key_of`.
    std::string stream_key;
    std::string engine;
    /// Tokens that the caller has received.
    int offset = 0;

    auto operator<=>(resume_point const &) const = default;
};

/// Request of an authenticated caller.
struct request_arrival
{
    request_number request;
    /// Earliest time at which the request can have reached the daemon; the time
    /// of the tick if not set.
    std::optional<instant> received_at;
    std::string caller;
    /// Name of the request class; empty selects the service's first class.
    std::string class_name;
    /// Name of the model; empty for a request to a plain service.
    std::string model;
    /// Name of the plain service; empty for a model request.
    std::string service;
    int prompt_tokens = 0;
    int max_output_tokens = 0;
    /// Hashes of the prompt's leading blocks; each hash also covers the blocks
    /// before it.
    std::vector<std::uint64_t> prefix_hashes;
    /// Tokens in one block of `prefix_hashes`.
    int prefix_block_tokens = 64;
    std::string method;
    std::string path;
    shared_text body;
    /// Seed of the engine's sampling; makes sampling reproducible, so that an
    /// answer can be continued on another engine.
    std::uint64_t seed = 0;
    /// Idempotency key of a non-idempotent call.
    std::string idempotency_key;
    /// False for a call that must not run more than once.
    bool idempotent = true;
    /// Set when the caller resumes an interrupted answer.
    std::shared_ptr<resume_point const> resume;
};

/// The caller closed its connection.
struct caller_disconnect
{
    request_number request;
};

/// Kind of progress of an attempt on an engine.
enum class engine_event_kind
{
    /// `tokens` tokens of the answer, starting at `offset`.
    chunk,
    /// The answer is complete; `offset` is its length in tokens.
    finished,
    /// Prefill is complete and the KV cache can be exported.
    prefilled,
    /// The engine refused the attempt before it did any work.
    refused,
    /// The connection failed before any byte was sent.
    failed_before_send,
    /// The connection failed after bytes may have been sent.
    failed_after_send,
};

struct engine_event
{
    attempt_number attempt;
    engine_event_kind kind = engine_event_kind::chunk;
    int offset = 0;
    int tokens = 0;
    std::string text;
    /// Prompt tokens found in the prefix cache; set in the first event.
    int cached_tokens = 0;
};

enum class service_reply_kind
{
    answered,
    failed_before_send,
    failed_after_send,
};

/// Reply of a plain service's endpoint.
struct service_reply
{
    attempt_number attempt;
    service_reply_kind kind = service_reply_kind::answered;
    int http_status = 0;
    std::string body;
};

/// State that an engine reported.
struct load_report
{
    std::string engine;
    /// Age of the state when it was received.
    duration age{};
    int running = 0;
    int waiting = 0;
    int waiting_prefill_tokens = 0;
    std::int64_t kv_tokens_used = 0;
    engine_role role = engine_role::mixed;
    std::string model;
    std::string model_version;
    /// Incremented by each order that takes effect and by each engine restart.
    std::uint64_t generation = 0;
    /// False while the engine loads a model or changes its role.
    bool ready = true;
    /// Id of the last order that took effect.
    std::string last_order;
};

/// Block stored in or evicted from an engine's prefix cache.
struct cache_event
{
    std::string engine;
    /// Number of the event at the engine; a gap shows that events were lost.
    std::uint64_t sequence = 0;
    std::uint64_t prefix_hash = 0;
    /// True for a block that was stored, false for an evicted one.
    bool stored = true;
};

/// Host in the platform's membership list.
struct host_entry
{
    std::string name;
    std::string data_centre;
    std::string address;
    bool leaving = false;
    /// True for a host that runs a daemon; false for the host of an engine or
    /// endpoint.
    bool entry = true;

    auto operator<=>(host_entry const &) const = default;
};

struct membership_report
{
    std::vector<host_entry> hosts;
};

/// A call to a peer failed.
struct peer_failure
{
    std::string peer;
};

/// Configuration document received from a peer.
struct configuration_document
{
    std::string from;
    std::string document;
    /// Same meaning as `heartbeat::revision_age_us`.
    std::int64_t revision_age_us = -1;
};

enum class order_outcome
{
    /// The engine accepted the order, now or earlier.
    accepted,
    refused_fencing,
    refused_generation,
    failed_before_send,
    unknown,
};

struct order_reply
{
    std::string engine;
    std::string order_id;
    order_outcome outcome = order_outcome::unknown;
};

/// Statement that an operator sent.
struct operator_request
{
    operator_call_number call;
    std::string operator_name;
    std::string text;
    /// Seconds since the Unix epoch, for the history.
    std::int64_t received_at = 0;
};

/// Input of one tick. Each list is in the order of arrival.
struct inbox
{
    std::vector<request_arrival> arrivals;
    std::vector<caller_disconnect> caller_disconnects;
    std::vector<engine_event> engine_events;
    std::vector<service_reply> service_replies;
    std::vector<load_report> load_reports;
    std::vector<cache_event> cache_events;
    std::vector<table_reply> table_replies;
    std::vector<membership_report> membership_reports;
    std::vector<heartbeat> heartbeats;
    std::vector<peer_failure> peer_failures;
    std::vector<configuration_document> configuration_documents;
    std::vector<order_reply> order_replies;
    std::vector<operator_request> operator_requests;
    std::vector<proxy_arrival> proxy_arrivals;
    std::vector<proxy_disconnect> proxy_disconnects;
    std::vector<proxy_event> proxy_events;
    std::vector<prefill_result> prefill_results;
    std::vector<cache_read_reply> cache_read_replies;
    std::vector<row_read_reply> row_read_replies;
    std::vector<peer_load_report> peer_load_reports;
    std::vector<part_evidence_report> part_evidence_reports;
    std::vector<std::shared_ptr<row_transaction_reply const>>
        row_transaction_replies;
    std::vector<std::shared_ptr<platform_reply const>> platform_replies;
    std::vector<std::shared_ptr<engine_role_reply const>> engine_role_replies;
    std::vector<std::shared_ptr<store_view_report const>> store_view_reports;
    std::vector<std::shared_ptr<usage_snapshot const>> usage_snapshots;
    std::vector<std::shared_ptr<account_load_report const>>
        account_load_reports;
    bool shutdown = false;
};

} // namespace agateledge

#endif
