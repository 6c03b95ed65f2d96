#ifndef AGATELEDGE_STANDIN_ENGINE_HPP
#define AGATELEDGE_STANDIN_ENGINE_HPP

#include "engine_definition.hpp"
#include "engine_order.hpp"
#include "inbox.hpp"
#include "time.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Timing model and capacities of an engine stand-in.
struct standin_engine_options
{
    std::string name;
    std::string model;
    std::string model_version;
    engine_role role = engine_role::mixed;
    /// False for an engine that checks neither the fencing number nor the
    /// expected generation of an order.
    bool checks_fencing = true;
    /// Maximum number of sequences in a batch: `max_batch` for the roles mixed
    /// and prefill, `decode_max_batch` for decode. A mixed engine reserves
    /// memory for prefill activations and therefore has the smaller limit.
    int max_batch = 32;
    int decode_max_batch = 80;
    /// Maximum number of prompt tokens that a step computes, by role. A prefill
    /// engine generates no tokens whose interval a long chunk would increase,
    /// so its limit is the highest.
    int prefill_chunk_tokens = 512;
    int prefill_role_chunk_tokens = 4096;
    int decode_role_chunk_tokens = 128;
    duration step_base = milliseconds(12);
    duration step_per_sequence = microseconds(350);
    double prefill_tokens_per_second = 9000;
    std::int64_t kv_capacity_tokens = 200000;
    std::int64_t prefix_cache_tokens = 60000;
    /// Time for which an order (role change or model load) or a restart makes
    /// the engine unavailable.
    duration order_duration = seconds(4);
    /// Rate at which the KV cache is imported from another engine.
    double import_tokens_per_second = 150000;
    /// Speed factor; 0.1 makes each step of a degraded engine ten times as
    /// long.
    double speed = 1.0;
    std::uint64_t seed = 1;
};

/// @param definition engine that the stand-in replaces
/// @param seed seed of the stand-in's random choices
/// @return options with the default speeds
standin_engine_options make_standin_options(engine_definition const &definition,
                                            std::uint64_t seed);

/// Work sent to an engine stand-in.
struct standin_work
{
    std::string stream_key;
    int prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_hashes;
    int prefix_block_tokens = 64;
    /// Tokens of the answer that another engine has already generated; the
    /// stream continues after them.
    int generated_tokens = 0;
    /// Length of the whole answer, in tokens.
    int output_tokens = 1;
    int priority = 0;
    std::uint64_t seed = 0;
    bool prefill_only = false;
    /// Tokens whose KV cache is imported from another engine.
    int imported_tokens = 0;
};

/// Event of one stream of an engine stand-in.
struct standin_event
{
    std::string stream_key;
    engine_event_kind kind = engine_event_kind::chunk;
    int offset = 0;
    int tokens = 0;
    std::string text;
    int cached_tokens = 0;
};

/// Model of an engine with continuous batching: each step generates one token
/// for every running sequence whose prompt is computed, and computes part of
/// the remaining prompts. Waiting work is admitted in order of priority. The
/// model has no clock: the caller advances it. Finished streams are kept so
/// that a client can attach to them again.
class standin_engine
{
public:
    explicit standin_engine(standin_engine_options options);

    /// Starts a stream.
    ///
    /// @return false when the engine is unavailable and refuses the work
    bool start(standin_work work, instant now);

    /// @return events that repeat the tokens of a stream from `offset` on, or
    ///         nothing when the stream is unknown
    std::optional<std::vector<standin_event>> replay(std::string const &key,
                                                     int offset) const;

    /// Ends a stream early; unknown streams are ignored.
    void cancel(std::string const &key);

    /// Applies an order. A repetition of the order that was applied last is
    /// accepted without a second effect; the ids of earlier orders are not
    /// kept.
    order_outcome order(engine_order const &order, instant now);

    /// @return the time at which the current step ends, if one runs
    std::optional<instant> step_ends_at() const { return step_ends_at_; }

    /// Completes the steps that end by `now` and appends their events to
    /// `events`.
    void advance(instant now, std::vector<standin_event> &events);

    /// Simulates a crash and a restart: all streams and the prefix cache are
    /// lost. A change that an order started and that is incomplete is undone.
    void crash(instant now);

    /// @return the current load of the engine; the age of the report is 0
    load_report load() const;

    /// @return cache events after `sequence`, oldest first, at most 256
    std::vector<cache_event> cache_events_after(std::uint64_t sequence) const;

    standin_engine_options &options() { return options_; }
    standin_engine_options const &options() const { return options_; }

    /// @return number of prompt tokens in the leading blocks that are in the
    ///         prefix cache
    int cached_prefix_tokens(std::vector<std::uint64_t> const &hashes,
                             int block_tokens) const;

    /// Applied orders, oldest first.
    std::vector<engine_order> const &applied_orders() const
    {
        return applied_orders_;
    }

    std::int64_t prefilled_tokens() const { return prefilled_tokens_; }
    std::int64_t generated_tokens() const { return generated_tokens_; }
    std::int64_t cached_prompt_tokens() const { return cached_prompt_tokens_; }

private:
    struct sequence
    {
        standin_work work;
        int remaining_prefill_tokens = 0;
        int cached_tokens = 0;
        int next_token = 0;
        instant import_done_at{};
        bool prefix_stored = false;
    };

    int max_batch_of_role() const;
    int prefill_chunk_of_role() const;
    void begin_step(instant now);
    void end_step(std::vector<standin_event> &events);
    void admit_waiting(instant now);
    /// Assigns the prefill tokens of the next step to the running sequences.
    ///
    /// @return number of tokens that the step computes
    int plan_prefill();
    /// Generates the next token of a running sequence, if its prompt is
    /// computed.
    ///
    /// @return true when the sequence has ended
    bool generate_token(sequence &item, std::vector<standin_event> &events);
    int use_cached_prefix(standin_work const &work);
    void store_prefix(standin_work const &work);
    void record_cache_event(std::uint64_t hash, bool stored);
    void complete_order(instant now);
    void undo_order();

    standin_engine_options options_;
    std::list<sequence> waiting_;
    std::list<sequence> running_;
    std::optional<instant> step_ends_at_;
    instant unavailable_until_{};
    bool unavailable_ = false;
    std::int64_t kv_tokens_ = 0;
    std::uint64_t generation_ = 1;
    fencing_number highest_fencing_;
    /// Options that an order can change.
    struct changeable_options
    {
        engine_role role = engine_role::mixed;
        std::string model;
        std::string model_version;
    };
    /// State before the order that is in progress, restored by `undo_order`.
    std::optional<changeable_options> options_before_order_;
    std::string last_order_;
    /// Id of the order before `last_order_`, restored by `undo_order`.
    std::string previous_order_;
    std::vector<engine_order> applied_orders_;
    /// Block hashes in the prefix cache, least recently used first.
    std::list<std::uint64_t> cache_lru_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cache_;
    std::int64_t cache_tokens_ = 0;
    std::deque<cache_event> cache_events_;
    std::uint64_t cache_sequence_ = 0;
    /// Finished work by stream key, for `replay`.
    std::map<std::string, standin_work> finished_;
    std::int64_t prefilled_tokens_ = 0;
    std::int64_t generated_tokens_ = 0;
    std::int64_t cached_prompt_tokens_ = 0;
};

} // namespace agateledge

#endif
