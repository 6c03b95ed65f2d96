#ifndef AGATELEDGE_RELAY_TABLE_HPP
#define AGATELEDGE_RELAY_TABLE_HPP

#include "ids.hpp"
#include "outbox.hpp"
#include "prompt_cache_view.hpp"
#include "relay_messages.hpp"
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

/// KV cache that an engine keeps for a request.
struct kept_prefill
{
    std::string instance;
    std::string address;
    std::string handle;
};

/// Open request of a caller.
struct relay_state_entry
{
    request_number number;
    relay_request_ptr content;
    /// Null when no route matches.
    std::shared_ptr<route_definition const> route;
    std::string service;
    prompt_chain chain;
    instant arrived_at{};
    /// End of the caller's patience or of the route's timeout.
    instant expires_at{};
    /// Time by which the answer must begin: the caller leaves a silent stream
    /// before its patience ends.
    instant begin_by{};
    std::optional<attempt_number> attempt;
    /// Instances that the request was sent to, in order.
    std::vector<std::string> tried;
    /// Calls that ran or may have run.
    int runs = 0;
    /// Calls that reached an instance, with those that it refused.
    int sends = 0;
    /// Waits for a place until then, after a failed call or because engines
    /// were full.
    instant not_before{};
    /// Prompt tokens that an engine would have had to read when the request was
    /// last compared and had to wait.
    int waiting_tokens = 0;
    std::optional<kept_prefill> kept;
    /// Prefill elsewhere has failed once; the next call runs in one place.
    bool prefill_failed = false;
    /// First line and headers were given to the caller.
    bool answering = false;
    /// Last event that the caller was given.
    std::string last_event;
    /// Begin of an event whose rest has not arrived.
    std::string partial_event;
    /// Head and body of an answer that is passed on as a whole.
    std::shared_ptr<relay_reply_head const> head;
    std::string body;
    std::optional<instant> first_sent_at;
    std::optional<instant> first_event_at;
    /// Arrival of the last events of a stream, and the longest time between
    /// two such arrivals.
    instant last_event_at{};
    duration longest_pause{};
    /// Lines on the decisions so far, written when the request fails or is
    /// late.
    std::vector<log_entry> trail;
};

/// Open call to an instance.
struct relay_attempt
{
    attempt_number attempt;
    request_number request;
    std::string instance;
    relay_stage stage = relay_stage::run;
    instant sent_at{};
    /// Time after which the first bytes were predicted.
    duration predicted{};
    /// Prompt tokens that the engine was expected to read.
    int unread_tokens = 0;
    /// Calls of this daemon that were open at the instance when it was sent.
    std::size_t calls_before = 0;
    bool answered = false;
};

/// Open requests and their calls.
class relay_table
{
public:
    relay_state_entry &add(relay_state_entry entry);
    relay_state_entry *find(request_number number);
    void erase(request_number number);

    relay_attempt &add(relay_attempt attempt);
    relay_attempt *find(attempt_number attempt);
    relay_attempt const *find(attempt_number attempt) const;
    void erase(attempt_number attempt);

    /// @return a number that was not used before
    attempt_number next_attempt() { return attempt_number(++last_attempt_); }

    std::size_t size() const { return entries_.size(); }

    std::unordered_map<request_number, relay_state_entry> const &all() const
    {
        return entries_;
    }

private:
    std::unordered_map<request_number, relay_state_entry> entries_;
    std::unordered_map<attempt_number, relay_attempt> attempts_;
    std::uint64_t last_attempt_ = 0;
};

} // namespace agateledge

#endif
