#include "engine_protocol.hpp"

#include "json_text.hpp"
#include "result_code.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <optional>
#include <utility>

namespace agateledge
{

namespace
{

/// Upper bound on the token counts and offsets that are accepted.
constexpr int max_tokens = 10'000'000;

/// Parses `text` as JSON and converts it with `read`.
///
/// @return `invalid_request` when the text is not JSON, a value has the wrong
///         type, or `read` returns no value
template <class Value>
absl::StatusOr<Value>
read_json(std::string_view text,
          std::function<std::optional<Value>(Json::Value const &)> const &read)
{
    auto const json = json_from_text(text);
    if (!json.ok())
    {
        return json.status();
    }
    try
    {
        if (auto value = read(*json))
        {
            return *std::move(value);
        }
    }
    catch (Json::Exception const &error)
    {
        return make_status(result_code::invalid_request, error.what());
    }
    return make_status(result_code::invalid_request,
                       "a field has an unknown name or is out of range");
}

/// Reads a 64-bit number given as a JSON number or as a decimal string.
std::uint64_t read_number(Json::Value const &value)
{
    if (!value.isString())
    {
        return value.asUInt64();
    }
    auto const text = value.asString();
    std::uint64_t number = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
    {
        throw Json::RuntimeError("not a decimal number: " + text.substr(0, 40));
    }
    return number;
}

std::optional<engine_event_kind> kind_of(std::string const &name)
{
    using enum engine_event_kind;
    constexpr std::array kinds{std::pair{"chunk", chunk},
                               std::pair{"finished", finished},
                               std::pair{"prefilled", prefilled}};
    auto const found =
        std::ranges::find_if(kinds, [&name](auto const &candidate)
                             { return name == candidate.first; });
    return found == kinds.end() ? std::nullopt : std::optional(found->second);
}

bool is_token_count(int count)
{
    return count >= 0 && count <= max_tokens;
}

std::optional<engine_event> read_event(Json::Value const &json)
{
    auto const kind = kind_of(json["kind"].asString());
    if (!kind)
    {
        return std::nullopt;
    }
    engine_event event;
    event.kind = *kind;
    event.offset = json["offset"].asInt();
    event.tokens = json["tokens"].asInt();
    event.text = json["text"].asString();
    event.cached_tokens = json["cached_tokens"].asInt();
    bool const valid = is_token_count(event.offset) &&
                       is_token_count(event.tokens) &&
                       is_token_count(event.cached_tokens);
    return valid ? std::optional(std::move(event)) : std::nullopt;
}

std::optional<load_report> read_load(Json::Value const &json)
{
    auto const role = parse_engine_role(json["role"].asString());
    if (!role)
    {
        return std::nullopt;
    }
    load_report report;
    report.age = duration(json["age_us"].asInt64());
    report.running = json["running"].asInt();
    report.waiting = json["waiting"].asInt();
    report.waiting_prefill_tokens = json["waiting_prefill_tokens"].asInt();
    report.kv_tokens_used = json["kv_tokens_used"].asInt64();
    report.role = *role;
    report.model = json["model"].asString();
    report.model_version = json["model_version"].asString();
    report.generation = read_number(json["generation"]);
    report.ready = json["ready"].asBool();
    report.last_order = json["last_order"].asString();
    bool const valid =
        report.age.count() >= 0 && report.running >= 0 && report.waiting >= 0 &&
        report.waiting_prefill_tokens >= 0 && report.kv_tokens_used >= 0;
    return valid ? std::optional(std::move(report)) : std::nullopt;
}

cache_event read_cache_event(Json::Value const &json)
{
    cache_event event;
    event.sequence = read_number(json["sequence"]);
    event.prefix_hash = read_number(json["prefix_hash"]);
    event.stored = json["stored"].asBool();
    return event;
}

std::optional<std::vector<cache_event>> read_cache_events(Json::Value json)
{
    auto const &list = json.isObject() ? json["events"] : json;
    if (!list.isArray())
    {
        return std::nullopt;
    }
    std::vector<cache_event> events;
    std::ranges::transform(list, std::back_inserter(events), read_cache_event);
    return events;
}

std::string kind_name(order_kind kind)
{
    switch (kind)
    {
    case order_kind::change_role:
        return "change_role";
    case order_kind::load_model:
        return "load_model";
    case order_kind::load_adapter:
        return "load_adapter";
    }
    return {};
}

Json::Value hashes_to_json(std::vector<std::uint64_t> const &hashes)
{
    Json::Value list(Json::arrayValue);
    std::ranges::for_each(hashes, [&list](std::uint64_t hash)
                          { list.append(std::to_string(hash)); });
    return list;
}

} // namespace

std::string engine_call_to_text(engine_call const &call)
{
    Json::Value json;
    json["stream"] = call.stream_key;
    json["model"] = call.model;
    json["prompt"] = call.body ? *call.body : std::string();
    json["generated_text"] = call.generated_text;
    json["generated_tokens"] = call.generated_tokens;
    json["prompt_tokens"] = call.prompt_tokens;
    json["prefix_hashes"] = hashes_to_json(call.prefix_hashes);
    json["prefix_block_tokens"] = call.prefix_block_tokens;
    json["max_tokens"] = call.max_output_tokens;
    json["priority"] = call.priority;
    json["seed"] = std::to_string(call.seed);
    json["prefill_only"] = call.prefill_only;
    json["import_from"] = call.import_from;
    json["import_key"] = call.import_key;
    json["attach"] = call.attach;
    return json_to_text(json);
}

absl::StatusOr<engine_event> engine_event_from_text(attempt_number attempt,
                                                    std::string_view text)
{
    auto event = read_json<engine_event>(text, read_event);
    if (event.ok())
    {
        event->attempt = attempt;
    }
    return event;
}

absl::StatusOr<load_report> load_report_from_text(std::string const &engine,
                                                  std::string_view text)
{
    auto report = read_json<load_report>(text, read_load);
    if (report.ok())
    {
        report->engine = engine;
    }
    return report;
}

absl::StatusOr<std::vector<cache_event>>
cache_events_from_text(std::string const &engine, std::string_view text)
{
    auto events = read_json<std::vector<cache_event>>(text, read_cache_events);
    if (events.ok())
    {
        std::ranges::for_each(*events, [&engine](cache_event &event)
                              { event.engine = engine; });
    }
    return events;
}

std::string engine_order_to_text(engine_order const &order)
{
    Json::Value json;
    json["id"] = order.id;
    json["engine"] = order.engine;
    json["kind"] = kind_name(order.kind);
    json["role"] = std::string(name_of(order.role));
    json["name"] = order.name;
    json["version"] = order.version;
    json["fencing"] = Json::UInt64(order.fencing.value());
    json["expected_generation"] = Json::UInt64(order.expected_generation);
    json["time_to_live_us"] = Json::Int64(order.time_to_live.count());
    return json_to_text(json);
}

order_outcome order_outcome_from_text(std::string_view text)
{
    using enum order_outcome;
    auto const outcome = read_json<order_outcome>(
        text,
        [](Json::Value const &json) -> std::optional<order_outcome>
        {
            constexpr std::array outcomes{
                std::pair{"accepted", accepted},
                std::pair{"refused_fencing", refused_fencing},
                std::pair{"refused_generation", refused_generation}};
            auto const name = json["outcome"].asString();
            auto const found =
                std::ranges::find_if(outcomes, [&name](auto const &candidate)
                                     { return name == candidate.first; });
            return found == outcomes.end() ? unknown : found->second;
        });
    return outcome.ok() ? *outcome : unknown;
}

} // namespace agateledge
