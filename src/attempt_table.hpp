#ifndef AGATELEDGE_ATTEMPT_TABLE_HPP
#define AGATELEDGE_ATTEMPT_TABLE_HPP

#include "due_queue.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace agateledge
{

/// One attempt to run a request. Exactly one of `engine` and `endpoint` is set.
struct attempt_state
{
    attempt_number attempt;
    request_number request;
    std::optional<engine_index> engine;
    std::optional<endpoint_index> endpoint;
    std::string stream_key;
    instant started_at{};
    std::optional<instant> first_token_at;
    instant last_progress_at{};
    /// Offset of the next token that is expected from this attempt.
    int next_offset = 0;
    /// Prefill work counted on the engine until the first token.
    int counted_prefill_tokens = 0;
    bool prefill_only = false;
    /// True when the attempt attached to a stream that was already running.
    bool attached = false;
    /// KV cache memory counted on the engine, in tokens.
    std::int64_t counted_kv_tokens = 0;
    /// Prefill work that was ahead of the attempt when it began.
    double backlog_tokens = 0;
    /// Start of the current sample of the step time; the offset is negative
    /// until the first token.
    int sample_offset = -1;
    instant sample_begun_at{};
};

/// Open attempts by number.
class attempt_table
{
public:
    /// Adds an attempt under a new number.
    attempt_state &add(attempt_state state);

    /// @return the attempt, or null when it has ended
    attempt_state *find(attempt_number attempt);

    void erase(attempt_number attempt);

    /// @return a number that was not used before
    attempt_number next_number();

    std::unordered_map<attempt_number, attempt_state> const &all() const
    {
        return states_;
    }

    /// Attempts on engines by the time of their next progress check.
    due_queue<attempt_number> progress_checks;

private:
    std::unordered_map<attempt_number, attempt_state> states_;
    std::uint64_t last_number_ = 0;
};

} // namespace agateledge

#endif
