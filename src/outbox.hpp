#ifndef AGATELEDGE_OUTBOX_HPP
#define AGATELEDGE_OUTBOX_HPP

#include "cache_messages.hpp"
#include "inbox.hpp"
#include "part_evidence_report.hpp"
#include "peer_load_report.hpp"
#include "result_code.hpp"

#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

struct account_load_report;
struct engine_role_order;
struct platform_call;
struct row_transaction;
struct store_view_report;
struct usage_snapshot;

/// Report to send to other daemons in one datagram each.
template <class Report>
struct peer_report
{
    /// IP addresses and ports of the receivers.
    std::vector<std::string> to;
    std::shared_ptr<Report const> report;
};

enum class caller_reply_kind
{
    /// The request is accepted; carries the parts of the request id.
    accepted,
    /// Part of the answer.
    chunk,
    /// End of the answer; for a plain service it carries the complete answer.
    finished,
    /// The request ends without a complete answer; `code` states what is known
    /// about its outcome.
    refused,
};

struct caller_reply
{
    request_number request;
    caller_reply_kind kind = caller_reply_kind::accepted;
    result_code code = result_code::ok;
    std::string message;
    /// Parts of the request id: set in `accepted`, and again when the answer
    /// continues on another engine.
    std::string stream_key;
    std::string engine;
    /// Number of tokens of the answer before this chunk.
    int offset = 0;
    int tokens = 0;
    /// Text of the chunk, or body of a plain service's answer.
    std::string text;
    /// Status of a plain service's answer.
    int http_status = 200;
};

struct engine_call
{
    attempt_number attempt;
    std::string engine;
    std::string address;
    std::string stream_key;
    std::string model;
    shared_text body;
    /// Beginning of the answer when another engine generated it; empty
    /// otherwise.
    std::string generated_text;
    int generated_tokens = 0;
    int prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_hashes;
    int prefix_block_tokens = 64;
    int max_output_tokens = 0;
    int priority = 0;
    std::uint64_t seed = 0;
    /// Makes the engine stop after prefill and keep the KV cache for export.
    bool prefill_only = false;
    /// Address of the engine to import the KV cache from; empty for none.
    std::string import_from;
    /// Stream key under which that engine holds the KV cache.
    std::string import_key;
    /// Attaches to the running stream `stream_key` at offset `generated_tokens`
    /// instead of starting a new one.
    bool attach = false;
};

struct attempt_cancel
{
    attempt_number attempt;
    std::string engine;
    std::string address;
    std::string stream_key;
};

struct service_call
{
    attempt_number attempt;
    std::string endpoint;
    std::string address;
    std::string method;
    std::string path;
    shared_text body;
    std::string idempotency_key;
    duration timeout{};
};

struct order_call
{
    std::string address;
    engine_order order;
    /// End of the sender's authority. Immediately before the send, the adapter
    /// reads the clock and drops the call if this time has been reached.
    instant not_after = instant::max();
};

/// Heartbeat to one peer; the peer replies with its own heartbeat.
struct peer_call
{
    std::string peer;
    std::string address;
    heartbeat message;
};

/// Request to a peer for its configuration document.
struct configuration_fetch
{
    std::string peer;
    std::string address;
};

struct operator_reply
{
    operator_call_number call;
    result_code code = result_code::ok;
    /// JSON document of the answer, or the message of a failure.
    std::string text;
};

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// One line of the log.
struct log_entry
{
    log_level level = log_level::info;
    /// Short, stable name of the event, for example "lease_taken".
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Output of one tick. The adapters process the lists in the order in which
/// they are declared.
struct outbox
{
    std::vector<log_entry> log_entries;
    std::vector<caller_reply> caller_replies;
    std::vector<engine_call> engine_calls;
    std::vector<attempt_cancel> attempt_cancels;
    std::vector<service_call> service_calls;
    std::vector<table_call> table_calls;
    std::vector<order_call> order_calls;
    std::vector<peer_call> peer_calls;
    std::vector<configuration_fetch> configuration_fetches;
    std::vector<operator_reply> operator_replies;
    std::vector<proxy_answer> proxy_answers;
    std::vector<proxy_cancel> proxy_cancels;
    std::vector<proxy_call> proxy_calls;
    std::vector<kv_release> kv_releases;
    std::vector<cache_read> cache_reads;
    std::vector<row_read> row_reads;
    std::vector<daemon_row_write> daemon_row_writes;
    std::vector<peer_load_send> peer_load_reports;
    std::vector<part_evidence_send> part_evidence_reports;
    std::vector<std::shared_ptr<row_transaction const>> row_transactions;
    std::vector<std::shared_ptr<platform_call const>> platform_calls;
    std::vector<std::shared_ptr<engine_role_order const>> engine_role_orders;
    std::vector<peer_report<store_view_report>> store_view_reports;
    std::vector<peer_report<usage_snapshot>> usage_snapshots;
    std::vector<peer_report<account_load_report>> account_load_reports;
    /// True once the shutdown is complete and the process may exit.
    bool shutdown_complete = false;
};

} // namespace agateledge

#endif
