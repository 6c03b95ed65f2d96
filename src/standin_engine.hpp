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

/// Speeds and sizes of an engine stand-in.
struct standin_engine_options
{
    std::string name;
    std::string model;
    std::string model_version;
    engine_role role = engine_role::mixed;
    /// False for an engine that checks neither the fencing number nor the
    /// expected generation of an order.
    bool checks_fencing = true;
    /// Sequences in one batch. A mixed engine keeps memory for prefill
    /// activations and therefore has the smaller batch.
    int max_batch = 32;
    int decode_max_batch = 80;
    /// Prompt tokens that one step computes at the most, by role. A prefill
    /// engine has no token interval to protect and takes long chunks.
    int prefill_chunk_tokens = 512;
    int prefill_role_chunk_tokens = 4096;
    int decode_role_chunk_tokens = 128;
    duration step_base = milliseconds(12);
    duration step_per_sequence = microseconds(350);
    double prefill_tokens_per_second = 9000;
    std::int64_t kv_capacity_tokens = 200000;
    std::int64_t prefix_cache_tokens = 60000;
    /// Time for which a role change or a load takes the engine away.
    duration order_time = seconds(4);
    /// KV cache tokens that are imported in a second.
    double import_tokens_per_second = 150000;
    /// Speed of a degraded engine: 0.1 makes each step ten times as long.
    double speed = 1.0;
    std::uint64_t seed = 1;
};

/// @param definition engine that the stand-in takes the place of
/// @param seed seed of the stand-in's random choices
/// @return options with the default speeds
standin_engine_options standin_options_of(engine_definition const &definition,
                                          std::uint64_t seed);

/// Work sent to an engine stand-in.
struct standin_work
{
    std::string stream_key;
    int prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_hashes;
    int prefix_block_tokens = 64;
    /// Tokens of the answer that another engine has generated.
    int generated_tokens = 0;
    /// Length of the whole answer, in tokens.
    int output_tokens = 1;
    int priority = 0;
    std::uint64_t seed = 0;
    bool prefill_only = false;
    /// Tokens whose KV cache comes from another engine.
    int imported_tokens = 0;
};

/// Progress of one stream of an engine stand-in.
struct standin_event
{
    std::string stream_key;
    engine_event_kind kind = engine_event_kind::chunk;
    int offset = 0;
    int tokens = 0;
    std::string text;
    int cached_tokens = 0;
};

/// Model of an engine with continuous batching: a step serves every running
/// sequence with one token and computes part of the waiting prompts, in the
/// order of priority. It has no clock: the caller advances it. Streams are kept
/// after their end, so that they can be attached again.
class standin_engine
{
public:
    explicit standin_engine(standin_engine_options options);

    /// Starts a stream.
    ///
    /// @return false when the engine is not ready and refuses the work
    bool start(standin_work work, instant now);

    /// @return events of a stream that repeat its tokens from `offset` on, or
    ///         nothing when the engine does not know the stream
    std::optional<std::vector<standin_event>> replay(std::string const &key,
                                                     int offset) const;

    /// Ends a stream early; unknown streams are ignored.
    void cancel(std::string const &key);

    /// Carries out an order. A copy of the order that took effect last is
    /// accepted without a second effect; earlier ones are not remembered.
    order_outcome order(engine_order const &order, instant now);

    /// @return the time at which the current step ends, if one runs
    std::optional<instant> next_step() const { return step_ends_; }

    /// Ends the steps that are due and appends their events to `events`.
    void advance(instant now, std::vector<standin_event> &events);

    /// Loses all streams and the cache, as a crash and a restart do. A change
    /// that an order began and that was not finished is undone.
    void crash(instant now);

    /// @return the true load of the engine; its age is 0
    load_report load() const;

    /// @return cache events after `sequence`, oldest first, 256 at the most
    std::vector<cache_event> cache_events_after(std::uint64_t sequence) const;

    standin_engine_options &options() { return options_; }
    standin_engine_options const &options() const { return options_; }

    /// @return prompt tokens of leading blocks that the prefix cache holds
    int cached_prefix_tokens(std::vector<std::uint64_t> const &hashes,
                             int block_tokens) const;

    /// Orders that took effect, in order.
    std::vector<engine_order> const &effects() const { return effects_; }

    std::int64_t prefilled_tokens() const { return prefilled_tokens_; }
    std::int64_t generated_tokens() const { return generated_tokens_; }
    std::int64_t cached_prompt_tokens() const { return cached_prompt_tokens_; }

private:
    struct sequence
    {
        standin_work work;
        int prefill_left = 0;
        int cached_tokens = 0;
        int next_token = 0;
        instant not_before{};
        bool announced = false;
    };

    int batch_limit() const;
    int chunk_limit() const;
    void begin_step(instant now);
    void end_step(std::vector<standin_event> &events);
    void admit_waiting(instant now);
    int plan_prefill();
    bool serve(sequence &item, std::vector<standin_event> &events);
    int take_cached_prefix(standin_work const &work);
    void store_prefix(standin_work const &work);
    void record_cache_event(std::uint64_t hash, bool stored);
    void finish_order(instant now);
    void undo_order();

    standin_engine_options options_;
    std::list<sequence> waiting_;
    std::list<sequence> running_;
    std::optional<instant> step_ends_;
    instant away_until_{};
    bool away_ = false;
    std::int64_t kv_tokens_ = 0;
    std::uint64_t generation_ = 1;
    fencing_number highest_fencing_;
    struct changed_options
    {
        engine_role role = engine_role::mixed;
        std::string model;
        std::string model_version;
    };
    /// What the order that is under way replaces.
    std::optional<changed_options> before_change_;
    std::string last_order_;
    std::string order_before_change_;
    std::vector<engine_order> effects_;
    std::list<std::uint64_t> cache_order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cache_;
    std::int64_t cache_tokens_ = 0;
    std::deque<cache_event> cache_events_;
    std::uint64_t cache_sequence_ = 0;
    /// Finished streams with their lengths, for `replay`.
    std::map<std::string, standin_work> finished_;
    std::int64_t prefilled_tokens_ = 0;
    std::int64_t generated_tokens_ = 0;
    std::int64_t cached_prompt_tokens_ = 0;
};

} // namespace agateledge

#endif
