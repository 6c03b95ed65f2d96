#include "standin_engine.hpp"

#include "standin_answer.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::size_t max_finished_streams = 4096;
constexpr std::size_t max_cache_events = 4096;

std::int64_t required_kv_tokens(standin_work const &work)
{
    return work.prompt_tokens + work.output_tokens;
}

standin_event make_event(standin_work const &work, engine_event_kind kind,
                         int offset)
{
    standin_event event;
    event.stream_key = work.stream_key;
    event.kind = kind;
    event.offset = offset;
    return event;
}

} // namespace

standin_engine_options make_standin_options(engine_definition const &definition,
                                            std::uint64_t seed)
{
    standin_engine_options options;
    options.name = definition.name;
    options.model = definition.model;
    options.model_version = definition.model_version;
    options.role = definition.role;
    options.checks_fencing = definition.checks_fencing;
    options.kv_capacity_tokens = definition.kv_capacity_tokens;
    options.seed = seed;
    return options;
}

standin_engine::standin_engine(standin_engine_options options)
    : options_(std::move(options))
{
}

bool standin_engine::start(standin_work work, instant now)
{
    if (unavailable_ && now < unavailable_until_)
    {
        return false;
    }
    sequence item;
    item.next_token = work.generated_tokens;
    item.import_done_at = now + from_seconds(work.imported_tokens /
                                             options_.import_tokens_per_second);
    item.work = std::move(work);
    auto const position = std::ranges::find_if(
        waiting_, [&item](sequence const &other)
        { return other.work.priority > item.work.priority; });
    waiting_.insert(position, std::move(item));
    if (!step_ends_at_)
    {
        begin_step(now);
    }
    return true;
}

std::optional<std::vector<standin_event>>
standin_engine::replay(std::string const &key, int offset) const
{
    std::vector<standin_event> events;
    auto const append = [&](standin_work const &work, int end)
    {
        for (int i = offset; i < end; ++i)
        {
            auto event = make_event(work, engine_event_kind::chunk, i);
            event.tokens = 1;
            event.text = standin_token(work.seed, i);
            events.push_back(std::move(event));
        }
    };
    auto const matches = [&key](sequence const &item)
    { return item.work.stream_key == key && !item.work.prefill_only; };
    if (auto const done = finished_.find(key);
        done != finished_.end() && !done->second.prefill_only)
    {
        append(done->second, done->second.output_tokens);
        events.push_back(make_event(done->second, engine_event_kind::finished,
                                    done->second.output_tokens));
        return events;
    }
    if (auto const item = std::ranges::find_if(running_, matches);
        item != running_.end())
    {
        append(item->work, item->next_token);
        return events;
    }
    if (std::ranges::any_of(waiting_, matches))
    {
        return events;
    }
    return std::nullopt;
}

void standin_engine::cancel(std::string const &key)
{
    auto const matches = [&key](sequence const &item)
    { return item.work.stream_key == key; };
    waiting_.remove_if(matches);
    auto const item = std::ranges::find_if(running_, matches);
    if (item != running_.end())
    {
        kv_tokens_ -= required_kv_tokens(item->work);
        running_.erase(item);
    }
}

order_outcome standin_engine::order(engine_order const &order, instant now)
{
    complete_order(now);
    if (last_order_ == order.id)
    {
        return order_outcome::accepted;
    }
    if (options_.checks_fencing && order.fencing < highest_fencing_)
    {
        return order_outcome::refused_fencing;
    }
    if (options_.checks_fencing && order.expected_generation != generation_)
    {
        return order_outcome::refused_generation;
    }
    highest_fencing_ = std::max(highest_fencing_, order.fencing);
    applied_orders_.push_back(order);
    ++generation_;
    options_before_order_ = {options_.role, options_.model,
                             options_.model_version};
    previous_order_ = std::exchange(last_order_, order.id);
    if (order.kind == order_kind::change_role)
    {
        options_.role = order.role;
    }
    if (order.kind == order_kind::load_model)
    {
        options_.model = order.name;
        options_.model_version = order.version;
    }
    unavailable_ = true;
    unavailable_until_ = now + options_.order_duration;
    return order_outcome::accepted;
}

void standin_engine::complete_order(instant now)
{
    if (unavailable_ && now >= unavailable_until_)
    {
        unavailable_ = false;
        options_before_order_.reset();
    }
}

void standin_engine::undo_order()
{
    options_.role = options_before_order_->role;
    options_.model = options_before_order_->model;
    options_.model_version = options_before_order_->model_version;
    last_order_ = previous_order_;
    options_before_order_.reset();
}

void standin_engine::advance(instant now, std::vector<standin_event> &events)
{
    complete_order(now);
    while (step_ends_at_ && *step_ends_at_ <= now)
    {
        auto const ended_at = *step_ends_at_;
        end_step(events);
        begin_step(ended_at);
    }
    if (!step_ends_at_ && (!waiting_.empty() || !running_.empty()))
    {
        begin_step(now);
    }
}

void standin_engine::crash(instant now)
{
    waiting_.clear();
    running_.clear();
    finished_.clear();
    cache_.clear();
    cache_lru_.clear();
    cache_tokens_ = 0;
    kv_tokens_ = 0;
    step_ends_at_.reset();
    ++generation_;
    complete_order(now);
    if (unavailable_ && options_before_order_)
    {
        undo_order();
    }
    unavailable_ = true;
    unavailable_until_ = now + options_.order_duration;
}

load_report standin_engine::load() const
{
    load_report report;
    report.engine = options_.name;
    report.running = static_cast<int>(running_.size());
    report.waiting = static_cast<int>(waiting_.size());
    for (auto const &item : waiting_)
    {
        report.waiting_prefill_tokens += item.work.prompt_tokens;
    }
    for (auto const &item : running_)
    {
        report.waiting_prefill_tokens += item.remaining_prefill_tokens;
    }
    report.kv_tokens_used = kv_tokens_;
    report.role = options_.role;
    report.model = options_.model;
    report.model_version = options_.model_version;
    report.generation = generation_;
    report.ready = !unavailable_;
    report.last_order = last_order_;
    return report;
}

std::vector<cache_event>
standin_engine::cache_events_after(std::uint64_t sequence) const
{
    constexpr std::size_t max_events = 256;
    std::vector<cache_event> out;
    auto const first =
        std::ranges::find_if(cache_events_, [sequence](cache_event const &event)
                             { return event.sequence > sequence; });
    auto const remaining =
        static_cast<std::size_t>(cache_events_.end() - first);
    std::copy_n(first, std::min(remaining, max_events),
                std::back_inserter(out));
    return out;
}

void standin_engine::admit_waiting(instant now)
{
    auto item = waiting_.begin();
    while (item != waiting_.end() &&
           running_.size() < static_cast<std::size_t>(max_batch_of_role()))
    {
        auto const required = required_kv_tokens(item->work);
        bool const fits = kv_tokens_ + required <= options_.kv_capacity_tokens;
        if (item->import_done_at > now || (!fits && !running_.empty()))
        {
            ++item;
            continue;
        }
        kv_tokens_ += required;
        item->cached_tokens = use_cached_prefix(item->work);
        auto const available =
            std::max(item->cached_tokens, item->work.imported_tokens);
        item->remaining_prefill_tokens =
            std::max(0, item->work.prompt_tokens + item->work.generated_tokens -
                            available);
        auto const moved = item++;
        running_.splice(running_.end(), waiting_, moved);
    }
}

int standin_engine::plan_prefill()
{
    int const limit = prefill_chunk_of_role();
    int budget = limit;
    for (auto &item : running_)
    {
        auto const tokens = std::min(budget, item.remaining_prefill_tokens);
        item.remaining_prefill_tokens -= tokens;
        budget -= tokens;
    }
    return limit - budget;
}

int standin_engine::max_batch_of_role() const
{
    return options_.role == engine_role::decode ? options_.decode_max_batch
                                                : options_.max_batch;
}

int standin_engine::prefill_chunk_of_role() const
{
    switch (options_.role)
    {
    case engine_role::prefill:
        return options_.prefill_role_chunk_tokens;
    case engine_role::decode:
        return options_.decode_role_chunk_tokens;
    case engine_role::mixed:
        break;
    }
    return options_.prefill_chunk_tokens;
}

void standin_engine::begin_step(instant now)
{
    step_ends_at_.reset();
    admit_waiting(now);
    if (running_.empty())
    {
        auto const next = std::ranges::min_element(
            waiting_, {},
            [](sequence const &item) { return item.import_done_at; });
        if (next != waiting_.end())
        {
            step_ends_at_ =
                std::max(next->import_done_at, now + milliseconds(1));
        }
        return;
    }
    auto const decoding =
        std::ranges::count_if(running_, [](sequence const &item)
                              { return item.remaining_prefill_tokens == 0; });
    auto const prefill = plan_prefill();
    prefilled_tokens_ += prefill;
    auto const step_duration =
        options_.step_base + options_.step_per_sequence * decoding +
        from_seconds(prefill / options_.prefill_tokens_per_second);
    step_ends_at_ =
        now + from_seconds(to_seconds(step_duration) / options_.speed);
}

bool standin_engine::generate_token(sequence &item,
                                    std::vector<standin_event> &events)
{
    auto const &work = item.work;
    if (item.remaining_prefill_tokens > 0)
    {
        return false;
    }
    if (!std::exchange(item.prefix_stored, true))
    {
        store_prefix(work);
    }
    if (work.prefill_only)
    {
        auto event = make_event(work, engine_event_kind::prefilled, 0);
        event.cached_tokens = item.cached_tokens;
        events.push_back(std::move(event));
        return true;
    }
    if (item.next_token < work.output_tokens)
    {
        auto event =
            make_event(work, engine_event_kind::chunk, item.next_token);
        event.tokens = 1;
        event.text = standin_token(work.seed, item.next_token);
        event.cached_tokens = item.cached_tokens;
        events.push_back(std::move(event));
        ++item.next_token;
        ++generated_tokens_;
    }
    if (item.next_token < work.output_tokens)
    {
        return false;
    }
    events.push_back(
        make_event(work, engine_event_kind::finished, work.output_tokens));
    return true;
}

void standin_engine::end_step(std::vector<standin_event> &events)
{
    step_ends_at_.reset();
    running_.remove_if(
        [&](sequence &item)
        {
            if (!generate_token(item, events))
            {
                return false;
            }
            kv_tokens_ -= required_kv_tokens(item.work);
            if (finished_.size() >= max_finished_streams)
            {
                finished_.erase(finished_.begin());
            }
            finished_.insert_or_assign(item.work.stream_key, item.work);
            return true;
        });
}

int standin_engine::use_cached_prefix(standin_work const &work)
{
    int blocks = 0;
    for (auto const hash : work.prefix_hashes)
    {
        auto const found = cache_.find(hash);
        if (found == cache_.end())
        {
            break;
        }
        cache_lru_.splice(cache_lru_.end(), cache_lru_, found->second);
        ++blocks;
    }
    auto const tokens =
        std::min(blocks * work.prefix_block_tokens, work.prompt_tokens);
    cached_prompt_tokens_ += tokens;
    return tokens;
}

int standin_engine::cached_prefix_tokens(
    std::vector<std::uint64_t> const &hashes, int block_tokens) const
{
    auto const end = std::ranges::find_if(hashes, [this](std::uint64_t hash)
                                          { return !cache_.contains(hash); });
    return static_cast<int>(end - hashes.begin()) * block_tokens;
}

void standin_engine::store_prefix(standin_work const &work)
{
    for (auto const hash : work.prefix_hashes)
    {
        if (cache_.contains(hash))
        {
            continue;
        }
        cache_.emplace(hash, cache_lru_.insert(cache_lru_.end(), hash));
        cache_tokens_ += work.prefix_block_tokens;
        record_cache_event(hash, true);
    }
    while (cache_tokens_ > options_.prefix_cache_tokens && !cache_lru_.empty())
    {
        auto const evicted = cache_lru_.front();
        cache_lru_.pop_front();
        cache_.erase(evicted);
        cache_tokens_ -= work.prefix_block_tokens;
        record_cache_event(evicted, false);
    }
}

void standin_engine::record_cache_event(std::uint64_t hash, bool stored)
{
    cache_events_.push_back({options_.name, ++cache_sequence_, hash, stored});
    if (cache_events_.size() > max_cache_events)
    {
        cache_events_.pop_front();
    }
}

} // namespace agateledge
