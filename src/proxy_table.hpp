#ifndef AGATELEDGE_PROXY_TABLE_HPP
#define AGATELEDGE_PROXY_TABLE_HPP

#include "block_text.hpp"
#include "ids.hpp"
#include "instance_incarnation.hpp"
#include "outbox.hpp"
#include "prompt_cache_view.hpp"
#include "proxy_messages.hpp"
#include "route_definition.hpp"
#include "time.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// KV cache that an engine retains for a request after the prefill.
struct kept_prefill
{
    std::string instance;
    std::string address;
    std::string handle;
};

/// State of one open proxied request.
struct proxy_request_state
{
    request_number number;
    proxy_request_ptr content;
    /// Null when no route matches.
    std::shared_ptr<route_definition const> route;
    std::string service;
    /// Client account of the caller; empty when the request needs none.
    std::string account;
    /// Priority class: that of the account, or else of the route; 0 is the
    /// highest.
    int priority = 0;
    prompt_chain chain;
    instant arrived_at{};
    /// Deadline: the time limit of the caller or the timeout of the route,
    /// whichever is earlier.
    instant expires_at{};
    /// Time by which the answer must begin; for a stream before the deadline,
    /// because callers leave a stream that does not begin.
    instant begin_by{};
    std::optional<attempt_number> attempt;
    /// Instances that the request was sent to, in order.
    std::vector<std::string> tried_instances;
    /// Number of calls that ran or may have run.
    int runs = 0;
    /// Number of calls that reached an instance, including refused ones.
    int sends = 0;
    /// The next call is reserved in the retry budget.
    bool retry_reserved = false;
    /// Time before which the request is not placed, after a failed call or
    /// because engines were at their concurrency limit.
    instant not_before{};
    /// The request waits because each instance of its service has asked for a
    /// pause or has had this daemon's share of its request limit.
    bool awaits_instance = false;
    /// The request waits for a read of the directory.
    bool awaits_directory = false;
    /// Prompt tokens that the chosen engine would have had to prefill when the
    /// request was last held back; 0 once it is sent.
    int waiting_tokens = 0;
    std::optional<kept_prefill> retained_prefill;
    /// A prefill on a separate engine or the hand-over of its KV cache has
    /// failed; the next call prefills and decodes on the same engine.
    bool prefill_failed = false;
    /// An engine has accepted a prefill call. A further one would count against
    /// the retry budget, as would the run that follows it.
    bool prefilled = false;
    /// The status line and headers have been sent to the caller.
    bool answering = false;
    /// The answer has begun with the head of an event stream.
    bool is_event_stream = false;
    /// Number of calls that continued the stream of an earlier one.
    int resumes = 0;
    /// Id of the last event that was sent to the caller.
    std::string last_event;
    /// Received bytes of an event that is not complete yet.
    std::string partial_event;
    /// Head of the reply, and the body of a reply that is forwarded when it is
    /// complete.
    std::shared_ptr<proxy_reply_head const> head;
    block_text body;
    std::optional<instant> first_sent_at;
    std::optional<instant> first_event_at;
    /// Arrival of the last events of a stream, and the maximum time between two
    /// such arrivals.
    instant last_event_at{};
    duration longest_event_gap{};
    /// Buffered log entries, written when the request fails or is late.
    std::vector<log_entry> buffered_log;
};

/// Open call to an instance.
struct proxy_attempt
{
    attempt_number attempt;
    request_number request;
    std::string instance;
    proxy_stage stage = proxy_stage::run;
    instant sent_at{};
    /// Predicted time from the send to the first bytes.
    duration predicted{};
    /// Prompt tokens that the engine was expected to prefill.
    int unread_tokens = 0;
    /// Prompt tokens that the engine was expected to prefill before.
    int backlog_tokens = 0;
    /// Number of this daemon's calls open at the instance when this one was
    /// sent.
    std::size_t calls_before = 0;
    bool answered = false;
    /// The call was predicted to miss its target and was sent with the least
    /// urgent priority; predictions for other calls ignore it.
    bool background = false;
    /// Incarnation of the instance that was called.
    instance_incarnation incarnation;
    /// Number of times that complete events of a stream arrived and were sent
    /// to the caller.
    int events = 0;
};

/// Open requests and their calls.
class proxy_table
{
public:
    proxy_request_state &add(proxy_request_state entry);
    proxy_request_state *find(request_number number);
    void erase(request_number number);

    proxy_attempt &add(proxy_attempt attempt);
    proxy_attempt *find(attempt_number attempt);
    proxy_attempt const *find(attempt_number attempt) const;
    void erase(attempt_number attempt);

    /// @return a number that has not been used before
    attempt_number next_attempt() { return attempt_number(++last_attempt_); }

    std::size_t size() const { return entries_.size(); }

    std::unordered_map<request_number, proxy_request_state> const &all() const
    {
        return entries_;
    }

private:
    std::unordered_map<request_number, proxy_request_state> entries_;
    std::unordered_map<attempt_number, proxy_attempt> attempts_;
    std::uint64_t last_attempt_ = 0;
};

} // namespace agateledge

#endif
