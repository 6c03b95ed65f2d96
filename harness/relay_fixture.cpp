#include "relay_fixture.hpp"

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
    std::ranges::move(part.relay_calls, std::back_inserter(all.relay_calls));
    std::ranges::move(part.relay_answers,
                      std::back_inserter(all.relay_answers));
    std::ranges::move(part.relay_cancels,
                      std::back_inserter(all.relay_cancels));
    std::ranges::move(part.kv_releases, std::back_inserter(all.kv_releases));
    std::ranges::move(part.cache_reads, std::back_inserter(all.cache_reads));
    std::ranges::move(part.row_reads, std::back_inserter(all.row_reads));
    std::ranges::move(part.daemon_row_writes,
                      std::back_inserter(all.daemon_row_writes));
    std::ranges::move(part.peer_load_reports,
                      std::back_inserter(all.peer_load_reports));
    std::ranges::move(part.log_entries, std::back_inserter(all.log_entries));
    all.stop_ready |= part.stop_ready;
}

} // namespace

relay_fixture::relay_fixture()
    : state({"edge-1", incarnation_number(1), "zone-a", "127.0.0.1:1"}, 1)
{
    state.relay.enabled = true;
    state.relay.put_routing(make_configuration());
    state.now = instant(seconds(100));
}

outbox relay_fixture::tick_now()
{
    tick(state, state.now);
    return std::exchange(state.out, {});
}

outbox relay_fixture::advance(duration time)
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

instance_row relay_fixture::row_of(instance_definition const &instance)
{
    instance_row row;
    row.id = instance.id;
    row.row_version = ++store_version_;
    row.instance = std::make_shared<instance_definition const>(instance);
    return row;
}

void relay_fixture::list(instance_definition const &instance)
{
    row_read_reply reply;
    reply.table = followed_table::instances;
    reply.whole = false;
    reply.outcome = row_outcome::answered;
    reply.instances = {row_of(instance)};
    reply.version = store_version_;
    state.in.row_read_replies.push_back(std::move(reply));
    tick_now();
}

void relay_fixture::list_engines(int count, engine_role role)
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

void relay_fixture::list_endpoints(int count)
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

void relay_fixture::instances_changed(std::vector<std::string> const &renewed,
                                      std::vector<std::string> const &removed)
{
    row_read_reply reply;
    reply.table = followed_table::instances;
    reply.whole = false;
    reply.outcome = row_outcome::answered;
    for (auto const &id : renewed)
    {
        reply.instances.push_back(
            row_of(state.relay.instances.find(id)->definition));
    }
    for (auto const &id : removed)
    {
        reply.instances.push_back({id, ++store_version_, nullptr, false});
    }
    reply.version = store_version_;
    state.in.row_read_replies.push_back(std::move(reply));
    tick_now();
}

void relay_fixture::store_fails()
{
    row_read_reply reply;
    reply.table = followed_table::instances;
    reply.whole = false;
    state.in.row_read_replies.push_back(std::move(reply));
    tick_now();
}

request_number relay_fixture::send(std::string const &path,
                                   std::uint64_t shared_part, int shared_tokens,
                                   int unshared_tokens)
{
    relay_request content;
    content.caller_attempt = "attempt-" + std::to_string(++last_request_);
    content.host = "host.example";
    content.method = "POST";
    content.target = path;
    content.body = std::make_shared<std::string const>("{}");
    content.patience = seconds(5);
    if (shared_part != 0)
    {
        prompt_shape prompt;
        prompt.model = "m";
        prompt.prompt_tokens = shared_tokens + unshared_tokens;
        // The last part belongs to the request alone.
        prompt.parts = {{shared_part, shared_tokens},
                        {last_request_ << 32U, unshared_tokens}};
        content.prompt = prompt;
    }
    relay_arrival arrival;
    arrival.request = request_number(last_request_);
    arrival.content = std::make_shared<relay_request const>(std::move(content));
    arrival.arrived_at = state.now;
    state.in.relay_arrivals.push_back(arrival);
    return arrival.request;
}

void relay_fixture::reply_head(attempt_number attempt, int status, bool not_run)
{
    relay_reply_head head;
    head.status = status;
    head.not_run = not_run;
    head.is_signed = !not_run;
    relay_event event;
    event.attempt = attempt;
    event.kind = relay_event_kind::head;
    event.head = std::make_shared<relay_reply_head const>(head);
    state.in.relay_events.push_back(event);
}

void relay_fixture::reply_bytes(attempt_number attempt,
                                std::string const &bytes)
{
    relay_event event;
    event.attempt = attempt;
    event.kind = relay_event_kind::bytes;
    event.bytes = bytes;
    state.in.relay_events.push_back(event);
}

void relay_fixture::reply_ends(attempt_number attempt, relay_event_kind kind)
{
    relay_event event;
    event.attempt = attempt;
    event.kind = kind;
    state.in.relay_events.push_back(event);
}

} // namespace agateledge
