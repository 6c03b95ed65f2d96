#ifndef AGATELEDGE_INBOX_HPP
#define AGATELEDGE_INBOX_HPP

#include "cache_messages.hpp"
#include "engine_order.hpp"
#include "heartbeat.hpp"
#include "ids.hpp"
#include "peer_load_report.hpp"
#include "relay_messages.hpp"
#include "row_messages.hpp"
#include "shared_text.hpp"
#include "table_call.hpp"
#include "time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

/// Where an interrupted answer is continued, from a signed request id and the
/// `Last-Event-ID` of the caller.
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
    std::string caller;
    /// Name of the request class; empty for the service's first class.
    std::string class_name;
    /// Model, for a model request.
    std::string model;
    /// Name of the plain service; empty for a model request.
    std::string service;
    int prompt_tokens = 0;
    int max_output_tokens = 0;
    /// Hashes of the prompt's leading blocks, each covering those before it.
    std::vector<std::uint64_t> prefix_hashes;
    /// Tokens in one block of `prefix_hashes`.
    int prefix_block_tokens = 64;
    std::string method;
    std::string path;
    shared_text body;
    /// Fixes the engine's sampling, so that an answer can be continued on
    /// another engine.
    std::uint64_t seed = 0;
    /// Key of a non-idempotent call.
    std::string idempotency_key;
    /// False for a call that may run at most once.
    bool idempotent = true;
    /// Set when the caller continues an interrupted answer.
    std::shared_ptr<resume_point const> resume;
};

/// The caller closed its connection.
struct caller_departure
{
    request_number request;
};

/// Progress of an attempt on an engine.
enum class engine_event_kind
{
    /// `tokens` tokens from `offset` on.
    chunk,
    /// The answer is complete; `offset` is its length in tokens.
    finished,
    /// Prefill is done and the KV cache can be exported.
    prefilled,
    /// The engine refused the attempt before it did any work.
    refused,
    /// The connection failed and no byte had been sent.
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
    /// Prompt tokens found in the prefix cache; with the first event.
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

/// State that an engine reported; late by `age`.
struct load_report
{
    std::string engine;
    duration age{};
    int running = 0;
    int waiting = 0;
    int waiting_prefill_tokens = 0;
    std::int64_t kv_tokens_used = 0;
    engine_role role = engine_role::mixed;
    std::string model;
    std::string model_version;
    /// Grows with each order that took effect and with each engine restart.
    std::uint64_t generation = 0;
    /// False while the engine loads a model or changes its role.
    bool ready = true;
    /// Last order that took effect.
    std::string last_order;
};

/// Block stored in or evicted from an engine's prefix cache.
struct cache_event
{
    std::string engine;
    std::uint64_t sequence = 0;
    std::uint64_t prefix_hash = 0;
    bool stored = true;
};

/// Host of the platform's membership list.
struct host_entry
{
    std::string name;
    std::string data_centre;
    std::string address;
    bool leaving = false;
    /// True for an entry host; false for an engine's or endpoint's host.
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
    /// As `heartbeat::revision_age_us`.
    std::int64_t revision_age_us = -1;
};

enum class order_outcome
{
    /// The engine accepted the order or had already done so.
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

/// Statement of an operator.
struct operator_request
{
    operator_call_number call;
    std::string who;
    std::string text;
    /// Seconds since the Unix epoch, for the history.
    std::int64_t received_at = 0;
};

/// Input of one tick, in the order of arrival within each kind.
struct inbox
{
    std::vector<request_arrival> arrivals;
    std::vector<caller_departure> departures;
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
    std::vector<relay_arrival> relay_arrivals;
    std::vector<relay_departure> relay_departures;
    std::vector<relay_event> relay_events;
    std::vector<prefill_result> prefill_results;
    std::vector<cache_read_reply> cache_read_replies;
    std::vector<row_read_reply> row_read_replies;
    std::vector<peer_load_report> peer_load_reports;
    bool shutdown = false;
};

} // namespace agateledge

#endif
