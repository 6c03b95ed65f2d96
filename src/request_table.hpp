#ifndef AGATELEDGE_REQUEST_TABLE_HPP
#define AGATELEDGE_REQUEST_TABLE_HPP

#include "ids.hpp"
#include "inbox.hpp"
#include "request_class.hpp"
#include "time.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

enum class request_phase
{
    /// Waits to be sent to an engine or endpoint.
    waiting,
    /// A claim of the non-idempotent call is being written or read.
    claiming,
    /// An attempt runs.
    running,
};

/// Request that has not ended.
struct request_state
{
    request_arrival arrival;
    /// Copy of the class as it was at arrival.
    request_class kind;
    std::string account;
    request_phase phase = request_phase::waiting;
    instant arrived_at{};
    std::optional<instant> first_token_at;
    /// True once the caller has been sent the request's id.
    bool accepted = false;
    /// True once the caller has disconnected; the outcome is still recorded.
    bool caller_left = false;
    /// Tokens and text of the answer that were delivered to the caller.
    int delivered_tokens = 0;
    std::string delivered_text;
    /// Offset of the first token in `delivered_text`; above 0 after a resume,
    /// since the text before it was delivered by another daemon.
    int text_offset = 0;
    std::optional<attempt_number> attempt;
    /// Second attempt of a hedged call.
    std::optional<attempt_number> hedge;
    int attempts = 0;
    /// Address of the engine that holds the prompt's KV cache, and the key of
    /// the stream there; empty until a prefill engine has computed the prompt.
    std::string kv_address;
    std::string kv_key;
    /// Earliest time of the next attempt.
    instant not_before{};
    /// True when the next attempt repeats work and uses the retry budget.
    bool needs_retry = false;
    /// Time at which the request began to wait for the retry budget.
    std::optional<instant> budget_wait_since;
    /// Stream that the next attempt attaches to in place of starting one.
    std::optional<resume_point> reattach;
    /// Target of the last failed attempt, avoided while there is another.
    std::optional<engine_index> avoid_engine;
    std::optional<endpoint_index> avoid_endpoint;
};

/// Open requests by number.
class request_table
{
public:
    /// Adds a request whose number is new.
    ///
    /// @return the stored request; valid until it is erased
    request_state &add(request_state state);

    /// @return the request, or null when it has ended
    request_state *find(request_number request);
    request_state const *find(request_number request) const;

    void erase(request_number request);

    std::unordered_map<request_number, request_state> const &all() const
    {
        return states_;
    }

    std::size_t size() const { return states_.size(); }

private:
    std::unordered_map<request_number, request_state> states_;
};

} // namespace agateledge

#endif
