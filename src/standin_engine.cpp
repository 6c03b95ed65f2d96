#include "standin_engine.hpp"

#include "standin_text.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::size_t max_kept_streams = 4096;
constexpr std::size_t max_kept_cache_events = 4096;

std::int64_t kv_need(standin_work const &work)
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

standin_engine_options standin_options_of(engine_definition const &definition,
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
    if (away_ && now < away_until_)
    {
        return false;
    }
    sequence item;
    item.next_token = work.generated_tokens;
    item.not_before = now + from_seconds(work.imported_tokens /
                                         options_.import_tokens_per_second);
    item.work = std::move(work);
    auto const place = std::ranges::find_if(
        waiting_, [&item](sequence const &other)
        { return other.work.priority > item.work.priority; });
    waiting_.insert(place, std::move(item));
    if (!step_ends_)
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
        kv_tokens_ -= kv_need(item->work);
        running_.erase(item);
    }
}

order_outcome standin_engine::order(engine_order const &order, instant now)
{
    finish_order(now);
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
    effects_.push_back(order);
    ++generation_;
    before_change_ = {options_.role, options_.model, options_.model_version};
    order_before_change_ = std::exchange(last_order_, order.id);
    if (order.kind == order_kind::change_role)
    {
        options_.role = order.role;
    }
    if (order.kind == order_kind::load_model)
    {
        options_.model = order.name;
        options_.model_version = order.version;
    }
    away_ = true;
    away_until_ = now + options_.order_time;
    return order_outcome::accepted;
}

void standin_engine::finish_order(instant now)
{
    if (away_ && now >= away_until_)
    {
        away_ = false;
        before_change_.reset();
    }
}

void standin_engine::undo_order()
{
    options_.role = before_change_->role;
    options_.model = before_change_->model;
    options_.model_version = before_change_->model_version;
    last_order_ = order_before_change_;
    before_change_.reset();
}

void standin_engine::advance(instant now, std::vector<standin_event> &events)
{
    finish_order(now);
    while (step_ends_ && *step_ends_ <= now)
    {
        auto const ended_at = *step_ends_;
        end_step(events);
        begin_step(ended_at);
    }
    if (!step_ends_ && (!waiting_.empty() || !running_.empty()))
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
    cache_order_.clear();
    cache_tokens_ = 0;
    kv_tokens_ = 0;
    step_ends_.reset();
    ++generation_;
    finish_order(now);
    if (away_ && before_change_)
    {
        undo_order();
    }
    away_ = true;
    away_until_ = now + options_.order_time;
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
        report.waiting_prefill_tokens += item.prefill_left;
    }
    report.kv_tokens_used = kv_tokens_;
    report.role = options_.role;
    report.model = options_.model;
    report.model_version = options_.model_version;
    report.generation = generation_;
    report.ready = !away_;
    report.last_order = last_order_;
    return report;
}

std::vector<cache_event>
standin_engine::cache_events_after(std::uint64_t sequence) const
{
    constexpr std::size_t most = 256;
    std::vector<cache_event> out;
    auto const first =
        std::ranges::find_if(cache_events_, [sequence](cache_event const &event)
                             { return event.sequence > sequence; });
    auto const left = static_cast<std::size_t>(cache_events_.end() - first);
    std::copy_n(first, std::min(left, most), std::back_inserter(out));
    return out;
}

void standin_engine::admit_waiting(instant now)
{
    auto item = waiting_.begin();
    while (item != waiting_.end() &&
           running_.size() < static_cast<std::size_t>(batch_limit()))
    {
        auto const need = kv_need(item->work);
        bool const fits = kv_tokens_ + need <= options_.kv_capacity_tokens;
        if (item->not_before > now || (!fits && !running_.empty()))
        {
            ++item;
            continue;
        }
        kv_tokens_ += need;
        item->cached_tokens = take_cached_prefix(item->work);
        auto const known =
            std::max(item->cached_tokens, item->work.imported_tokens);
        item->prefill_left = std::max(
            0, item->work.prompt_tokens + item->work.generated_tokens - known);
        auto const moved = item++;
        running_.splice(running_.end(), waiting_, moved);
    }
}

int standin_engine::plan_prefill()
{
    int const limit = chunk_limit();
    int budget = limit;
    for (auto &item : running_)
    {
        auto const part = std::min(budget, item.prefill_left);
        item.prefill_left -= part;
        budget -= part;
    }
    return limit - budget;
}

int standin_engine::batch_limit() const
{
    return options_.role == engine_role::decode ? options_.decode_max_batch
                                                : options_.max_batch;
}

int standin_engine::chunk_limit() const
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
    step_ends_.reset();
    admit_waiting(now);
    if (running_.empty())
    {
        auto const next = std::ranges::min_element(
            waiting_, {}, [](sequence const &item) { return item.not_before; });
        if (next != waiting_.end())
        {
            step_ends_ = std::max(next->not_before, now + milliseconds(1));
        }
        return;
    }
    auto const decoding = std::ranges::count_if(
        running_, [](sequence const &item) { return item.prefill_left == 0; });
    auto const prefill = plan_prefill();
    prefilled_tokens_ += prefill;
    auto const length =
        options_.step_base + options_.step_per_sequence * decoding +
        from_seconds(prefill / options_.prefill_tokens_per_second);
    step_ends_ = now + from_seconds(to_seconds(length) / options_.speed);
}

bool standin_engine::serve(sequence &item, std::vector<standin_event> &events)
{
    auto const &work = item.work;
    if (item.prefill_left > 0)
    {
        return false;
    }
    if (!std::exchange(item.announced, true))
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
    step_ends_.reset();
    running_.remove_if(
        [&](sequence &item)
        {
            if (!serve(item, events))
            {
                return false;
            }
            kv_tokens_ -= kv_need(item.work);
            if (finished_.size() >= max_kept_streams)
            {
                finished_.erase(finished_.begin());
            }
            finished_.insert_or_assign(item.work.stream_key, item.work);
            return true;
        });
}

int standin_engine::take_cached_prefix(standin_work const &work)
{
    int blocks = 0;
    for (auto const hash : work.prefix_hashes)
    {
        auto const found = cache_.find(hash);
        if (found == cache_.end())
        {
            break;
        }
        cache_order_.splice(cache_order_.end(), cache_order_, found->second);
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
        cache_.emplace(hash, cache_order_.insert(cache_order_.end(), hash));
        cache_tokens_ += work.prefix_block_tokens;
        record_cache_event(hash, true);
    }
    while (cache_tokens_ > options_.prefix_cache_tokens &&
           !cache_order_.empty())
    {
        auto const evicted = cache_order_.front();
        cache_order_.pop_front();
        cache_.erase(evicted);
        cache_tokens_ -= work.prefix_block_tokens;
        record_cache_event(evicted, false);
    }
}

void standin_engine::record_cache_event(std::uint64_t hash, bool stored)
{
    cache_events_.push_back({options_.name, ++cache_sequence_, hash, stored});
    if (cache_events_.size() > max_kept_cache_events)
    {
        cache_events_.pop_front();
    }
}

} // namespace agateledge
