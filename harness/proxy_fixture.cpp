#include "proxy_fixture.hpp"

#include "store_view_state.hpp"
#include "tick.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace agateledge
{

namespace
{

constexpr duration max_step = milliseconds(10);

route_definition make_route(std::string const &name, route_kind kind,
                            std::string const &service)
{
    route_definition route;
    route.name = name;
    route.host = "host.example";
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.services = {{service, 1}};
    route.max_attempts = 2;
    return route;
}

std::shared_ptr<routing_configuration const> make_configuration()
{
    routing_configuration out;
    out.version = 1;
    out.routes = {make_route("chat", route_kind::streaming, "models"),
                  make_route("once", route_kind::streaming, "models"),
                  make_route("book", route_kind::non_idempotent, "desk"),
                  make_route("look", route_kind::idempotent, "desk")};
    out.routes[0].resumable = true;
    service_profile models;
    models.name = "models";
    models.kv_capacity_tokens = 460000;
    models.kv_bytes_per_token = 18432;
    models.kv_bytes_per_ms = 46e6;
    service_profile desk;
    desk.name = "desk";
    out.services = {models, desk};
    return std::make_shared<routing_configuration const>(std::move(out));
}

void move_into(outbox &all, outbox &&part)
{
    std::ranges::move(part.proxy_calls, std::back_inserter(all.proxy_calls));
    std::ranges::move(part.proxy_answers,
                      std::back_inserter(all.proxy_answers));
    std::ranges::move(part.proxy_cancels,
                      std::back_inserter(all.proxy_cancels));
    std::ranges::move(part.kv_releases, std::back_inserter(all.kv_releases));
    std::ranges::move(part.cache_reads, std::back_inserter(all.cache_reads));
    std::ranges::move(part.row_reads, std::back_inserter(all.row_reads));
    std::ranges::move(part.daemon_row_writes,
                      std::back_inserter(all.daemon_row_writes));
    std::ranges::move(part.peer_load_reports,
                      std::back_inserter(all.peer_load_reports));
    std::ranges::move(part.part_evidence_reports,
                      std::back_inserter(all.part_evidence_reports));
    std::ranges::move(part.account_load_reports,
                      std::back_inserter(all.account_load_reports));
    std::ranges::move(part.log_entries, std::back_inserter(all.log_entries));
    all.shutdown_complete |= part.shutdown_complete;
}

} // namespace

proxy_fixture::proxy_fixture()
    : state({"edge-1", incarnation_number(1), "zone-a", "127.0.0.1:1"}, 1)
{
    state.proxy.enabled = true;
    state.proxy.set_routing(make_configuration());
    state.now = instant(seconds(100));
}

outbox proxy_fixture::tick_now()
{
    tick(state, state.now);
    return std::exchange(state.out, {});
}

outbox proxy_fixture::advance(duration time)
{
    outbox all;
    auto const end = state.now + time;
    while (state.now < end)
    {
        auto next = std::min(end, state.now + max_step);
        tick(state, next);
        move_into(all, std::exchange(state.out, {}));
    }
    return all;
}

instance_row proxy_fixture::row_of(instance_definition const &instance)
{
    instance_row row;
    row.id = instance.id;
    row.row_version = ++store_version_;
    row.instance = std::make_shared<instance_definition const>(instance);
    return row;
}

void proxy_fixture::list(instance_definition const &instance)
{
    row_read_reply reply;
    reply.table = polled_table::instances;
    reply.full = false;
    reply.outcome = row_outcome::answered;
    reply.instances = {row_of(instance)};
    reply.version = store_version_;
    state.in.row_read_replies.push_back(std::move(reply));
    tick_now();
}

void proxy_fixture::list_engines(int count, engine_role role)
{
    for (int i = 1; i <= count; ++i)
    {
        instance_definition engine;
        engine.id = std::string(name_of(role)) + "-" + std::to_string(i);
        engine.service = "models";
        engine.address = "10.0.0." + std::to_string(i) + ":80";
        engine.data_centre = "zone-a";
        engine.role = role;
        list(engine);
    }
}

void proxy_fixture::list_endpoints(int count)
{
    for (int i = 1; i <= count; ++i)
    {
        instance_definition endpoint;
        endpoint.id = "desk-" + std::to_string(i);
        endpoint.service = "desk";
        endpoint.address = "10.0.1." + std::to_string(i) + ":80";
        endpoint.data_centre = "zone-a";
        list(endpoint);
    }
}

void proxy_fixture::instances_changed(std::vector<std::string> const &renewed,
                                      std::vector<std::string> const &removed)
{
    row_read_reply reply;
    reply.table = polled_table::instances;
    reply.full = false;
    reply.outcome = row_outcome::answered;
    for (auto const &id : renewed)
    {
        reply.instances.push_back(
            row_of(state.proxy.instances.find(id)->definition));
    }
    for (auto const &id : removed)
    {
        reply.instances.push_back({id, ++store_version_, nullptr, false});
    }
    reply.version = store_version_;
    state.in.row_read_replies.push_back(std::move(reply));
    tick_now();
}

void proxy_fixture::store_fails()
{
    row_read_reply reply;
    reply.table = polled_table::instances;
    reply.full = false;
    store_view_of(state).read_sent_at.at(
        static_cast<std::size_t>(reply.table)) = state.now;
    state.in.row_read_replies.push_back(std::move(reply));
    tick_now();
}

request_number proxy_fixture::send(std::string const &path,
                                   std::uint64_t shared_part, int shared_tokens,
                                   int unshared_tokens)
{
    if (shared_part == 0)
    {
        return arrive(path, std::nullopt);
    }
    prompt_shape prompt;
    prompt.model = "m";
    prompt.prompt_tokens = shared_tokens + unshared_tokens;
    // The last part belongs to the request alone.
    prompt.parts = {{shared_part, shared_tokens},
                    {(last_request_ + 1) << 32U, unshared_tokens}};
    return arrive(path, prompt);
}

request_number
proxy_fixture::send_prompt(std::string const &path,
                           std::vector<std::uint64_t> const &parts)
{
    constexpr int tokens_of_part = 100;
    prompt_shape prompt;
    prompt.model = "m";
    prompt.prompt_tokens = static_cast<int>(parts.size()) * tokens_of_part;
    std::ranges::transform(parts, std::back_inserter(prompt.parts),
                           [](std::uint64_t id) {
                               return prompt_part{id, tokens_of_part};
                           });
    return arrive(path, prompt);
}

request_number proxy_fixture::arrive(std::string const &path,
                                     std::optional<prompt_shape> const &prompt)
{
    proxy_request content;
    content.caller_attempt = "attempt-" + std::to_string(++last_request_);
    content.host = "host.example";
    content.method = "POST";
    content.target = path;
    content.body = std::make_shared<std::string const>("{}");
    content.caller_timeout = seconds(5);
    content.prompt = prompt;
    content.credential = credential;
    proxy_arrival arrival;
    arrival.request = request_number(last_request_);
    arrival.content = std::make_shared<proxy_request const>(std::move(content));
    arrival.received_at = state.now;
    state.in.proxy_arrivals.push_back(arrival);
    return arrival.request;
}

void proxy_fixture::reply_head(attempt_number attempt, int status, bool not_run)
{
    proxy_reply_head head;
    head.status = status;
    head.not_run = not_run;
    head.is_signed = !not_run;
    head.is_event_stream = status == 200;
    reply_head(attempt, head);
}

void proxy_fixture::reply_head(attempt_number attempt,
                               proxy_reply_head const &head)
{
    proxy_event event;
    event.attempt = attempt;
    event.kind = proxy_event_kind::head;
    event.head = std::make_shared<proxy_reply_head const>(head);
    state.in.proxy_events.push_back(event);
}

void proxy_fixture::reply_bytes(attempt_number attempt,
                                std::string const &bytes)
{
    proxy_event event;
    event.attempt = attempt;
    event.kind = proxy_event_kind::bytes;
    event.bytes = bytes;
    state.in.proxy_events.push_back(event);
}

void proxy_fixture::reply_ends(attempt_number attempt, proxy_event_kind kind)
{
    proxy_event event;
    event.attempt = attempt;
    event.kind = kind;
    state.in.proxy_events.push_back(event);
}

} // namespace agateledge
