#include "virtual_deployment.hpp"

#include "apply_configuration.hpp"
#include "configuration_json.hpp"
#include "tick.hpp"
#include "track_peers.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

standin_engine_options options_for(engine_definition const &definition,
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

engine_event to_engine_event(attempt_number attempt, standin_event event)
{
    engine_event out;
    out.attempt = attempt;
    out.kind = event.kind;
    out.offset = event.offset;
    out.tokens = event.tokens;
    out.text = std::move(event.text);
    out.cached_tokens = event.cached_tokens;
    return out;
}

standin_work to_work(engine_call const &call, int output_tokens)
{
    standin_work work;
    work.stream_key = call.stream_key;
    work.prompt_tokens = call.prompt_tokens;
    work.prefix_hashes = call.prefix_hashes;
    work.prefix_block_tokens = call.prefix_block_tokens;
    work.generated_tokens = call.generated_tokens;
    work.output_tokens = output_tokens;
    work.priority = call.priority;
    work.seed = call.seed;
    work.prefill_only = call.prefill_only;
    if (!call.import_from.empty())
    {
        work.imported_tokens = call.prompt_tokens;
    }
    return work;
}

} // namespace

virtual_deployment::virtual_deployment(configuration const &config,
                                       std::vector<std::string> const &daemons,
                                       std::uint64_t seed)
    : random_(seed)
{
    for (auto const &definition : config.engines)
    {
        auto &engine = engines_[definition.name];
        engine.model = std::make_unique<standin_engine>(
            options_for(definition, random_()));
        engine.data_centre = definition.data_centre;
    }
    for (auto const &data_centre : daemons)
    {
        auto const name = "daemon-" + std::to_string(daemons_.size());
        auto &daemon = daemons_.emplace_back();
        daemon.state = std::make_unique<world>(
            daemon_identity{name, incarnation_number(1), data_centre, name},
            random_());
        daemon.state->initial_config = config;
        put_in_force(*daemon.state, config);
        confirm_revision(*daemon.state, now_);
        plan_tick(daemons_.size() - 1, now_);
    }
    add_peers();
    at(now_, [this] { report_hosts(); });
    at(now_ + delays_.load_report_interval, [this] { report_loads(); });
}

void virtual_deployment::at(instant when, std::function<void()> action)
{
    queue_.push({std::max(when, now_), ++last_sequence_, std::move(action)});
}

bool virtual_deployment::step(instant end)
{
    if (queue_.empty() || queue_.top().when > end)
    {
        now_ = std::max(now_, end);
        return false;
    }
    // The queue only lends its top; the action is moved out before the pop.
    auto const next = std::move(const_cast<planned_action &>(queue_.top()));
    queue_.pop();
    now_ = next.when;
    next.action();
    return true;
}

void virtual_deployment::run_until(instant end)
{
    while (step(end))
    {
    }
}

void virtual_deployment::submit(std::size_t daemon, request_arrival arrival)
{
    daemons_.at(daemon).state->in.arrivals.push_back(std::move(arrival));
    plan_tick(daemon, now_);
}

void virtual_deployment::plan_tick(std::size_t index, instant when)
{
    auto &daemon = daemons_[index];
    daemon.planned_tick = std::min(daemon.planned_tick, when);
    // A queued check that comes earlier plans the later one, so that the queue
    // does not fill with wake-ups that have been replaced.
    auto &queued = daemon.queued_checks;
    if (!queued.empty() && *queued.begin() <= when)
    {
        return;
    }
    queued.insert(when);
    at(when, [this, index, when] { check_tick(index, when); });
}

void virtual_deployment::check_tick(std::size_t index, instant when)
{
    auto &daemon = daemons_[index];
    daemon.queued_checks.erase(when);
    if (daemon.planned_tick <= when)
    {
        run_tick(index);
    }
    else if (daemon.planned_tick != instant::max())
    {
        plan_tick(index, daemon.planned_tick);
    }
}

void virtual_deployment::run_tick(std::size_t index)
{
    auto &daemon = daemons_[index];
    daemon.planned_tick = instant::max();
    if (!daemon.alive || daemon.paused)
    {
        return;
    }
    tick(*daemon.state, now_);
    carry_out(index);
    if (daemon.state->next_wake)
    {
        plan_tick(index,
                  std::max(*daemon.state->next_wake, now_ + microseconds(1)));
    }
}

void virtual_deployment::carry_out(std::size_t index)
{
    auto const out = std::exchange(daemons_[index].state->out, {});
    for (auto const &reply : out.caller_replies)
    {
        if (on_reply)
        {
            on_reply(index, reply);
        }
    }
    std::ranges::for_each(out.engine_calls, [&](engine_call const &call)
                          { send_engine_call(index, call); });
    for (auto const &cancel : out.attempt_cancels)
    {
        auto const name = cancel.engine;
        at(now_ + delay_to(index, engines_.at(name).data_centre),
           [this, name, key = cancel.stream_key]
           { engines_.at(name).model->cancel(key); });
    }
    std::ranges::for_each(out.service_calls, [&](service_call const &call)
                          { send_service_call(index, call); });
    std::ranges::for_each(out.table_calls, [&](table_call const &call)
                          { send_table_call(index, call); });
    std::ranges::for_each(out.order_calls, [&](order_call const &call)
                          { send_order_call(index, call); });
    for (auto const &reply : out.operator_replies)
    {
        if (on_operator_reply)
        {
            on_operator_reply(index, reply);
        }
    }
    std::ranges::for_each(out.peer_calls, [&](peer_call const &call)
                          { send_peer_call(index, call); });
    std::ranges::for_each(out.configuration_fetches,
                          [&](configuration_fetch const &fetch)
                          { send_configuration_fetch(index, fetch); });
}

duration virtual_deployment::delay_to(std::size_t daemon,
                                      std::string const &data_centre) const
{
    return daemons_[daemon].state->identity.data_centre == data_centre
               ? delays_.within_data_centre
               : delays_.between_data_centres;
}

void virtual_deployment::send_engine_call(std::size_t daemon,
                                          engine_call const &call)
{
    at(now_ + delay_to(daemon, engines_.at(call.engine).data_centre),
       [this, daemon, call] { deliver_engine_call(daemon, call); });
}

void virtual_deployment::deliver_engine_call(std::size_t daemon,
                                             engine_call const &call)
{
    auto &engine = engines_.at(call.engine);
    engine_event failure;
    failure.attempt = call.attempt;
    if (!reachable(daemon, call.engine))
    {
        failure.kind = engine_event_kind::failed_before_send;
        deliver_event(daemon, failure);
        return;
    }
    advance_engine(call.engine);
    auto const length = output_tokens ? output_tokens(call)
                                      : std::max(1, call.max_output_tokens);
    if (!engine.model->start(to_work(call, length), now_))
    {
        failure.kind = engine_event_kind::refused;
        deliver_event(daemon, failure);
        return;
    }
    engine.readers[call.stream_key] = {daemon, call.attempt};
    plan_step(call.engine);
}

void virtual_deployment::deliver_event(std::size_t daemon, engine_event event)
{
    at(now_ + delays_.within_data_centre,
       [this, daemon, event = std::move(event)]
       {
           if (!daemons_[daemon].alive)
           {
               return;
           }
           daemons_[daemon].state->in.engine_events.push_back(event);
           plan_tick(daemon, now_);
       });
}

void virtual_deployment::deliver_events(std::size_t daemon,
                                        std::vector<engine_event> events)
{
    if (events.empty())
    {
        return;
    }
    // The queue copies its actions, so that the events are shared.
    auto const batch =
        std::make_shared<std::vector<engine_event>>(std::move(events));
    at(now_ + delays_.within_data_centre,
       [this, daemon, batch]
       {
           if (!daemons_[daemon].alive)
           {
               return;
           }
           auto &in = daemons_[daemon].state->in.engine_events;
           std::ranges::move(*batch, std::back_inserter(in));
           plan_tick(daemon, now_);
       });
}

bool virtual_deployment::reachable(std::size_t daemon,
                                   std::string const &engine) const
{
    auto const &target = engines_.at(engine);
    auto const &from = daemons_[daemon].state->identity.data_centre;
    bool const cut =
        isolated_.contains(from) || isolated_.contains(target.data_centre);
    return target.reachable && (!cut || from == target.data_centre);
}

void virtual_deployment::plan_step(std::string const &name)
{
    auto &engine = engines_.at(name);
    auto const next = engine.model->next_step();
    if (!next || engine.planned_step <= *next)
    {
        return;
    }
    engine.planned_step = *next;
    at(*next,
       [this, name, when = *next]
       {
           auto &planned = engines_.at(name).planned_step;
           planned = planned == when ? instant::max() : planned;
           advance_engine(name);
       });
}

void virtual_deployment::advance_engine(std::string const &name)
{
    auto &engine = engines_.at(name);
    std::vector<standin_event> events;
    engine.model->advance(now_, events);
    std::vector<std::vector<engine_event>> by_daemon(daemons_.size());
    for (auto &event : events)
    {
        auto const reader = engine.readers.find(event.stream_key);
        if (reader == engine.readers.end())
        {
            continue;
        }
        auto const [daemon, attempt] = reader->second;
        if (event.kind == engine_event_kind::finished ||
            event.kind == engine_event_kind::prefilled)
        {
            engine.readers.erase(reader);
        }
        if (reachable(daemon, name))
        {
            by_daemon[daemon].push_back(
                to_engine_event(attempt, std::move(event)));
        }
    }
    for (std::size_t i = 0; i < by_daemon.size(); ++i)
    {
        deliver_events(i, std::move(by_daemon[i]));
    }
    plan_step(name);
}

void virtual_deployment::report_loads()
{
    for (auto &[name, engine] : engines_)
    {
        if (!engine.reachable)
        {
            continue;
        }
        std::vector<standin_event> none;
        advance_engine(name);
        auto report = engine.model->load();
        report.age = delays_.load_report_lag;
        at(now_ + delays_.load_report_lag,
           [this, report]
           {
               for (std::size_t i = 0; i < daemons_.size(); ++i)
               {
                   if (reachable(i, report.engine))
                   {
                       daemons_[i].state->in.load_reports.push_back(report);
                   }
               }
           });
        report_cache_events(engine);
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        plan_tick(i, now_ + delays_.load_report_interval);
    }
    at(now_ + delays_.load_report_interval, [this] { report_loads(); });
}

void virtual_deployment::report_cache_events(virtual_engine &engine)
{
    auto events = std::make_shared<std::vector<cache_event>>(
        engine.model->cache_events_after(engine.cache_sequence));
    if (events->empty())
    {
        return;
    }
    engine.cache_sequence = events->back().sequence;
    if (random_.uniform() < delays_.cache_event_loss)
    {
        return;
    }
    auto const name = engine.model->options().name;
    std::ranges::for_each(*events,
                          [&name](cache_event &event) { event.engine = name; });
    at(now_ + delays_.load_report_lag,
       [this, events]
       {
           for (auto &daemon : daemons_)
           {
               auto &in = daemon.state->in.cache_events;
               in.insert(in.end(), events->begin(), events->end());
           }
       });
}

void virtual_deployment::send_service_call(std::size_t daemon,
                                           service_call const &call)
{
    auto const &endpoints = daemons_[daemon].state->endpoints;
    auto const &endpoint =
        endpoints.at(*endpoints.find(call.endpoint)).definition;
    auto const delay = delay_to(daemon, endpoint.data_centre);
    at(now_ + delay,
       [this, daemon, call, service = endpoint.service, delay]
       {
           auto const answer = services_[service].call(
               call.method, call.idempotency_key, call.body ? *call.body : "");
           service_reply reply;
           reply.attempt = call.attempt;
           reply.http_status = answer.http_status;
           reply.body = answer.body;
           at(now_ + delay + milliseconds(2),
              [this, daemon, reply]
              {
                  daemons_[daemon].state->in.service_replies.push_back(reply);
                  plan_tick(daemon, now_);
              });
       });
}

void virtual_deployment::send_table_call(std::size_t daemon,
                                         table_call const &call)
{
    at(now_ + delays_.table_service,
       [this, daemon, call] { deliver_table_call(daemon, call); });
}

void virtual_deployment::deliver_table_call(std::size_t daemon,
                                            table_call const &call)
{
    table_reply reply;
    reply.operation = call.operation;
    reply.owner = call.owner;
    auto const fault = table_fault ? table_fault(daemon, call) : std::nullopt;
    bool const reaches_table = !fault || (*fault == table_outcome::unknown &&
                                          !(table_loses && table_loses(call)));
    if (reaches_table)
    {
        reply = table_.apply(call);
    }
    if (fault)
    {
        reply.outcome = *fault;
        reply.rows.clear();
    }
    at(now_ + delays_.table_service,
       [this, daemon, reply]
       {
           daemons_[daemon].state->in.table_replies.push_back(reply);
           plan_tick(daemon, now_);
       });
}

void virtual_deployment::send_order_call(std::size_t daemon,
                                         order_call const &call)
{
    auto const delay =
        delay_to(daemon, engines_.at(call.order.engine).data_centre);
    auto const copies = order_copies ? order_copies(call.order)
                                     : std::vector<duration>{duration(0)};
    for (auto const extra : copies)
    {
        at(now_ + delay + extra, [this, daemon, order = call.order]
           { deliver_order(daemon, order); });
    }
}

void virtual_deployment::deliver_order(std::size_t daemon,
                                       engine_order const &order)
{
    auto &engine = engines_.at(order.engine);
    order_reply reply;
    reply.engine = order.engine;
    reply.order_id = order.id;
    reply.outcome = engine.reachable ? engine.model->order(order, now_)
                                     : order_outcome::failed_before_send;
    if (on_order)
    {
        on_order(order, reply.outcome);
    }
    at(now_ + delays_.within_data_centre,
       [this, daemon, reply]
       {
           daemons_[daemon].state->in.order_replies.push_back(reply);
           plan_tick(daemon, now_);
       });
}

void virtual_deployment::add_peers()
{
    for (auto &daemon : daemons_)
    {
        for (auto const &peer : daemons_)
        {
            auto const &identity = peer.state->identity;
            add_peer(*daemon.state, identity.name, identity.address,
                     identity.data_centre);
        }
    }
}

std::optional<std::size_t>
virtual_deployment::find_daemon(std::string const &name) const
{
    auto const found =
        std::ranges::find_if(daemons_, [&name](virtual_daemon const &daemon)
                             { return daemon.state->identity.name == name; });
    return found == daemons_.end()
               ? std::nullopt
               : std::optional<std::size_t>(found - daemons_.begin());
}

bool virtual_deployment::reaches(std::size_t from, std::size_t to) const
{
    return daemons_[from].alive && daemons_[to].alive && !daemons_[to].paused &&
           (!daemon_reachable || daemon_reachable(from, to));
}

void virtual_deployment::send_peer_call(std::size_t daemon,
                                        peer_call const &call)
{
    auto const peer = find_daemon(call.peer);
    if (!peer || !reaches(daemon, *peer))
    {
        fail_peer_call(daemon, call.peer);
        return;
    }
    auto const delay =
        delay_to(daemon, daemons_[*peer].state->identity.data_centre);
    at(now_ + delay, [this, daemon, peer = *peer, message = call.message]
       { answer_peer_call(daemon, peer, message); });
}

void virtual_deployment::answer_peer_call(std::size_t daemon, std::size_t peer,
                                          heartbeat const &message)
{
    auto const &data_centre = daemons_[daemon].state->identity.data_centre;
    if (!daemons_[peer].alive || daemons_[peer].paused)
    {
        fail_peer_call(daemon, daemons_[peer].state->identity.name);
        return;
    }
    daemons_[peer].state->in.heartbeats.push_back(message);
    plan_tick(peer, now_);
    if (!reaches(peer, daemon))
    {
        fail_peer_call(daemon, daemons_[peer].state->identity.name);
        return;
    }
    auto const reply =
        own_heartbeat(*daemons_[peer].state, now_, message.sequence);
    at(now_ + delay_to(peer, data_centre),
       [this, daemon, reply]
       {
           daemons_[daemon].state->in.heartbeats.push_back(reply);
           plan_tick(daemon, now_);
       });
}

void virtual_deployment::fail_peer_call(std::size_t daemon,
                                        std::string const &peer)
{
    at(now_ + delays_.peer_call_timeout,
       [this, daemon, peer]
       {
           daemons_[daemon].state->in.peer_failures.push_back({peer});
           plan_tick(daemon, now_);
       });
}

void virtual_deployment::send_configuration_fetch(
    std::size_t daemon, configuration_fetch const &fetch)
{
    auto const peer = find_daemon(fetch.peer);
    if (!peer || !reaches(daemon, *peer) || !reaches(*peer, daemon))
    {
        fail_peer_call(daemon, fetch.peer);
        return;
    }
    auto const delay =
        delay_to(daemon, daemons_[*peer].state->identity.data_centre);
    at(now_ + delay * 2,
       [this, daemon, peer = *peer]
       {
           auto &state = *daemons_[peer].state;
           configuration_document document;
           document.from = state.identity.name;
           document.document = configuration_to_json(state.config);
           document.revision_age_us =
               own_heartbeat(state, now_).revision_age_us;
           daemons_[daemon].state->in.configuration_documents.push_back(
               document);
           plan_tick(daemon, now_);
       });
}

void virtual_deployment::report_hosts()
{
    if (!hosts_.empty())
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i)
        {
            daemons_[i].state->in.membership_reports.push_back({hosts_});
            plan_tick(i, now_);
        }
    }
    at(now_ + delays_.host_report_interval, [this] { report_hosts(); });
}

} // namespace agateledge
