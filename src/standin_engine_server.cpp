#include "standin_engine_server.hpp"

#include "daemon_loop.hpp"
#include "http_exchange.hpp"
#include "json_text.hpp"
#include "random_source.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace agateledge
{

namespace
{

/// Reads a 64-bit number that JSON carries as a decimal string.
std::uint64_t parse_uint64(Json::Value const &value)
{
    auto const text = value.asString();
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

standin_work parse_work(Json::Value const &body)
{
    standin_work work;
    work.stream_key = body["stream"].asString();
    work.prompt_tokens = body["prompt_tokens"].asInt();
    for (auto const &hash : body["prefix_hashes"])
    {
        work.prefix_hashes.push_back(parse_uint64(hash));
    }
    work.prefix_block_tokens = body.get("prefix_block_tokens", 64).asInt();
    work.generated_tokens = body["generated_tokens"].asInt();
    work.priority = body["priority"].asInt();
    work.seed = parse_uint64(body["seed"]);
    work.prefill_only = body["prefill_only"].asBool();
    if (!body["import_from"].asString().empty())
    {
        work.imported_tokens = work.prompt_tokens;
    }
    work.output_tokens = standin_answer_length(
        body["prompt"].asString(), work.seed, body["max_tokens"].asInt());
    return work;
}

engine_order parse_order(Json::Value const &body)
{
    engine_order order;
    order.id = body["id"].asString();
    order.engine = body["engine"].asString();
    auto const kind = body["kind"].asString();
    order.kind = kind == "load_model"     ? order_kind::load_model
                 : kind == "load_adapter" ? order_kind::load_adapter
                                          : order_kind::change_role;
    order.role =
        parse_engine_role(body["role"].asString()).value_or(engine_role::mixed);
    order.name = body["name"].asString();
    order.version = body["version"].asString();
    order.fencing = fencing_number(parse_uint64(body["fencing"]));
    order.expected_generation = parse_uint64(body["expected_generation"]);
    return order;
}

char const *name_of(engine_event_kind kind)
{
    switch (kind)
    {
    case engine_event_kind::finished:
        return "finished";
    case engine_event_kind::prefilled:
        return "prefilled";
    default:
        return "chunk";
    }
}

char const *name_of(order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::refused_fencing:
        return "refused_fencing";
    default:
        return "refused_generation";
    }
}

std::string event_to_json(standin_event const &event)
{
    Json::Value out;
    out["kind"] = name_of(event.kind);
    out["offset"] = event.offset;
    out["tokens"] = event.tokens;
    out["text"] = event.text;
    out["cached_tokens"] = event.cached_tokens;
    return json_to_text(out);
}

/// Parses the body of a request and passes it to `handle`, or replies with 400.
template <class Handler>
void with_json_body(std::shared_ptr<http_exchange> const &request,
                    Handler handle)
{
    auto const body = json_from_text(request->body());
    if (!body.ok() || !body->isObject())
    {
        request->reply(400, R"({"error":"body is not a JSON object"})");
        return;
    }
    try
    {
        handle(*body);
    }
    catch (Json::Exception const &error)
    {
        request->reply(400, R"({"error":"a field has the wrong type"})");
    }
}

} // namespace

int standin_answer_length(std::string const &prompt, std::uint64_t seed,
                          int max_tokens)
{
    auto const limit = std::max(1, max_tokens);
    auto const marker = prompt.find("len=");
    int length = 0;
    if (marker != std::string::npos)
    {
        std::from_chars(prompt.data() + marker + 4,
                        prompt.data() + prompt.size(), length);
    }
    if (length <= 0)
    {
        random_source random(seed);
        length = 1 + static_cast<int>(
                         random.below(static_cast<std::uint64_t>(limit)));
    }
    return std::min(length, limit);
}

standin_engine_server::standin_engine_server(standin_engine_options options)
    : model_(std::move(options))
{
    server_.add("/v1/generate", [this](exchange const &r) { generate(r); });
    server_.add("/v1/cancel", [this](exchange const &r) { cancel(r); });
    server_.add("/v1/orders", [this](exchange const &r) { order(r); });
    server_.add("/v1/load", [this](exchange const &r) { load(r); });
    server_.add("/v1/cache_events",
                [this](exchange const &r) { cache_events(r); });
    server_.add("/v1/kv", [this](exchange const &r) { kv_transfer(r); });
}

standin_engine_server::~standin_engine_server()
{
    if (timer_source_ != 0)
    {
        g_source_remove(timer_source_);
    }
}

absl::Status standin_engine_server::listen(std::string const &address)
{
    return server_.listen(address);
}

void standin_engine_server::generate(exchange const &request)
{
    with_json_body(
        request,
        [this, &request](Json::Value const &body)
        {
            auto work = parse_work(body);
            if (body["attach"].asBool())
            {
                attach(request, work.stream_key, work.generated_tokens);
                return;
            }
            auto const key = work.stream_key;
            if (!model_.start(std::move(work), daemon_loop::clock_now()))
            {
                request->reply(503, R"({"error":"not ready"})");
                return;
            }
            request->begin_events();
            open_responses_[key] = request;
            schedule_step();
        });
}

void standin_engine_server::attach(exchange const &request,
                                   std::string const &key, int offset)
{
    auto const events = model_.replay(key, offset);
    if (!events)
    {
        request->reply(409, R"({"error":"unknown stream"})");
        return;
    }
    request->begin_events();
    open_responses_[key] = request;
    std::ranges::for_each(*events, [this](standin_event const &event)
                          { write_event(event); });
}

void standin_engine_server::write_event(standin_event const &event)
{
    auto const response = open_responses_.find(event.stream_key);
    if (response == open_responses_.end())
    {
        return;
    }
    response->second->write_event(event_to_json(event));
    if (event.kind != engine_event_kind::chunk)
    {
        response->second->end_events();
        open_responses_.erase(response);
    }
}

void standin_engine_server::cancel(exchange const &request)
{
    with_json_body(request,
                   [this, &request](Json::Value const &body)
                   {
                       auto const key = body["stream"].asString();
                       model_.cancel(key);
                       auto const response = open_responses_.find(key);
                       if (response != open_responses_.end())
                       {
                           response->second->end_events();
                           open_responses_.erase(response);
                       }
                       request->reply(200, "{}");
                   });
}

void standin_engine_server::order(exchange const &request)
{
    with_json_body(request,
                   [this, &request](Json::Value const &body)
                   {
                       Json::Value out;
                       out["outcome"] = name_of(model_.order(
                           parse_order(body), daemon_loop::clock_now()));
                       request->reply(200, json_to_text(out));
                   });
}

void standin_engine_server::load(exchange const &request)
{
    advance();
    auto const report = model_.load();
    Json::Value out;
    out["engine"] = report.engine;
    out["age_us"] = Json::Int64(0);
    out["running"] = report.running;
    out["waiting"] = report.waiting;
    out["waiting_prefill_tokens"] = report.waiting_prefill_tokens;
    out["kv_tokens_used"] = Json::Int64(report.kv_tokens_used);
    out["role"] = std::string(name_of(report.role));
    out["model"] = report.model;
    out["model_version"] = report.model_version;
    out["generation"] = Json::UInt64(report.generation);
    out["ready"] = report.ready;
    out["last_order"] = report.last_order;
    request->reply(200, json_to_text(out));
}

void standin_engine_server::cache_events(exchange const &request)
{
    Json::Value after;
    after = request->query("after");
    Json::Value out(Json::arrayValue);
    for (auto const &event : model_.cache_events_after(parse_uint64(after)))
    {
        Json::Value item;
        item["sequence"] = Json::UInt64(event.sequence);
        item["prefix_hash"] = std::to_string(event.prefix_hash);
        item["stored"] = event.stored;
        out.append(item);
    }
    Json::Value document;
    document["events"] = out;
    request->reply(200, json_to_text(document));
}

void standin_engine_server::kv_transfer(exchange const &request)
{
    with_json_body(request,
                   [&request](Json::Value const &body)
                   {
                       Json::Value out;
                       out["stream"] = body["stream"];
                       out["tokens"] = body.get("prompt_tokens", 0);
                       request->reply(200, json_to_text(out));
                   });
}

void standin_engine_server::advance()
{
    std::vector<standin_event> events;
    model_.advance(daemon_loop::clock_now(), events);
    std::ranges::for_each(events, [this](standin_event const &event)
                          { write_event(event); });
}

void standin_engine_server::schedule_step()
{
    auto const next = model_.step_ends_at();
    if (timer_source_ != 0 || !next)
    {
        return;
    }
    auto const delay = std::max(*next - daemon_loop::clock_now(), duration(0));
    timer_source_ = g_timeout_add(
        static_cast<guint>(std::chrono::ceil<milliseconds>(delay).count()),
        [](gpointer self) -> gboolean
        {
            auto *server = static_cast<standin_engine_server *>(self);
            server->timer_source_ = 0;
            server->advance();
            server->schedule_step();
            return G_SOURCE_REMOVE;
        },
        this);
}

} // namespace agateledge
