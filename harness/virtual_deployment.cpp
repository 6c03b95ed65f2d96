#include "virtual_deployment.hpp"

#include "append_configuration_writes.hpp"
#include "apply_configuration.hpp"
#include "configuration_head.hpp"
#include "configuration_json.hpp"
#include "propose_configuration.hpp"
#include "tick.hpp"
#include "track_peers.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Name under which the platform's services are listed as a data centre.
constexpr char const *platform = "platform";

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
    : config_(config), random_(seed)
{
    for (auto const &definition : config.engines)
    {
        auto &engine = engines_[definition.name];
        engine.model = std::make_unique<standin_engine>(
            make_standin_options(definition, random_()));
        engine.data_centre = definition.data_centre;
    }
    for (auto const &data_centre : daemons)
    {
        auto const name = "daemon-" + std::to_string(daemons_.size());
        auto &daemon = daemons_.emplace_back();
        daemon.identity = {name, incarnation_number(1), data_centre, name};
        start(daemons_.size() - 1);
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        add_peers(*daemons_[i].state);
        plan_tick(i, now_);
    }
    at(now_, [this] { report_hosts(); });
    at(now_ + delays_.load_report_interval, [this] { report_loads(); });
}

void virtual_deployment::start(std::size_t index)
{
    auto &daemon = daemons_[index];
    daemon.identity.incarnation = incarnation_number(daemon.incarnation);
    daemon.state = std::make_unique<world>(daemon.identity, random_());
    daemon.state->now = now_;
    daemon.alive = true;
    daemon.state->initial_config = config_;
    activate_configuration(*daemon.state, config_);
    confirm_revision(*daemon.state, now_);
    if (on_start)
    {
        on_start(*daemon.state);
    }
}

void virtual_deployment::kill(std::size_t index)
{
    daemons_[index].alive = false;
    daemons_[index].paused = false;
}

void virtual_deployment::restart(std::size_t index)
{
    ++daemons_[index].incarnation;
    start(index);
    add_peers(*daemons_[index].state);
    plan_tick(index, now_);
}

void virtual_deployment::pause(std::size_t index)
{
    daemons_[index].paused = true;
}

void virtual_deployment::resume(std::size_t index)
{
    daemons_[index].paused = false;
    plan_tick(index, now_);
}

void virtual_deployment::stop(std::size_t index)
{
    daemons_[index].state->in.shutdown = true;
    plan_tick(index, now_);
}

void virtual_deployment::store_configuration()
{
    section_documents documents;
    auto const index = split_configuration(config_, documents);
    table_call call;
    agateledge::append_configuration_writes(call, configuration_state(), index,
                                            documents, "harness");
    table_.apply(call);
}

void virtual_deployment::propose(std::size_t index, configuration next)
{
    auto &daemon = daemons_[index];
    if (daemon.alive && !daemon.paused)
    {
        propose_configuration(*daemon.state, std::move(next),
                              operator_call_number(++last_sequence_));
        plan_tick(index, now_);
    }
}

void virtual_deployment::disconnect_caller(std::size_t index,
                                           request_number request)
{
    daemons_[index].state->in.caller_disconnects.push_back({request});
    plan_tick(index, now_);
}

void virtual_deployment::crash_engine(std::string const &name)
{
    advance_engine(name);
    auto &engine = engines_.at(name);
    engine.model->crash(now_);
    for (auto const &[key, reader] : std::exchange(engine.readers, {}))
    {
        standin_event event;
        event.kind = engine_event_kind::failed_after_send;
        deliver_event(engine.data_centre, reader, event);
    }
}

bool virtual_deployment::is_cut(std::string const &one,
                                std::string const &other) const
{
    bool const isolated =
        one != other && other != platform &&
        (isolated_.contains(one) || isolated_.contains(other));
    return isolated || cuts.contains({one, other}) ||
           cuts.contains({other, one});
}

virtual_origin virtual_deployment::origin_of(std::size_t daemon) const
{
    return {daemon, daemons_[daemon].incarnation};
}

std::string const &virtual_deployment::data_centre_of(std::size_t daemon) const
{
    return daemons_[daemon].identity.data_centre;
}

void virtual_deployment::deliver(virtual_origin origin, duration delay,
                                 std::function<void(inbox &)> put)
{
    at(now_ + delay,
       [this, origin, put = std::move(put)]
       {
           auto &daemon = daemons_[origin.daemon];
           if (daemon.alive && daemon.incarnation == origin.incarnation)
           {
               put(daemon.state->in);
               plan_tick(origin.daemon, now_);
           }
       });
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
    // std::priority_queue::top() is const; moving avoids a copy of the closure
    // and is safe because the element is popped next.
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
    // An earlier queued check schedules the later one, so that superseded
    // wake-ups do not accumulate in the queue.
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
    dispatch_outbox(index);
    if (daemon.alive && daemon.state->next_wake)
    {
        plan_tick(index,
                  std::max(*daemon.state->next_wake, now_ + microseconds(1)));
    }
}

void virtual_deployment::dispatch_outbox(std::size_t index)
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
    std::ranges::for_each(out.attempt_cancels, [&](attempt_cancel const &cancel)
                          { send_attempt_cancel(index, cancel); });
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
    if (out.shutdown_complete)
    {
        daemons_[index].alive = false;
        if (on_stopped)
        {
            on_stopped(index);
        }
    }
}

duration virtual_deployment::delay_to(std::size_t daemon,
                                      std::string const &data_centre) const
{
    return data_centre_of(daemon) == data_centre ? delays_.within_data_centre
                                                 : delays_.between_data_centres;
}

void virtual_deployment::send_engine_call(std::size_t daemon,
                                          engine_call const &call)
{
    if (on_work_sent && !call.attach)
    {
        on_work_sent(daemon, call.engine);
    }
    at(now_ + delay_to(daemon, engines_.at(call.engine).data_centre),
       [this, origin = origin_of(daemon), call]
       { deliver_engine_call(origin, call); });
}

void virtual_deployment::fail_engine_call(virtual_origin origin,
                                          engine_call const &call,
                                          engine_event_kind kind,
                                          duration delay)
{
    engine_event event;
    event.attempt = call.attempt;
    event.kind = kind;
    deliver(origin, delay,
            [event](inbox &in) { in.engine_events.push_back(event); });
}

void virtual_deployment::deliver_engine_call(virtual_origin origin,
                                             engine_call const &call)
{
    auto &engine = engines_.at(call.engine);
    auto const delay = delay_to(origin.daemon, engine.data_centre);
    bool const cut = is_cut(data_centre_of(origin.daemon), engine.data_centre);
    if (!engine.reachable || cut)
    {
        fail_engine_call(origin, call, engine_event_kind::failed_before_send,
                         cut ? delays_.call_timeout : delay);
        return;
    }
    advance_engine(call.engine);
    if (call.attach)
    {
        attach_stream(origin, call);
        return;
    }
    auto const length = output_tokens ? output_tokens(call)
                                      : std::max(1, call.max_output_tokens);
    if (!engine.model->start(to_work(call, length), now_))
    {
        fail_engine_call(origin, call, engine_event_kind::refused, delay);
        return;
    }
    engine.readers[call.stream_key] = {origin, call.attempt};
    plan_step(call.engine);
}

void virtual_deployment::attach_stream(virtual_origin origin,
                                       engine_call const &call)
{
    auto &engine = engines_.at(call.engine);
    auto const events =
        engine.model->replay(call.stream_key, call.generated_tokens);
    if (!events)
    {
        fail_engine_call(origin, call, engine_event_kind::refused,
                         delay_to(origin.daemon, engine.data_centre));
        return;
    }
    virtual_reader const reader{origin, call.attempt};
    engine.readers[call.stream_key] = reader;
    std::ranges::for_each(*events,
                          [&](standin_event const &event) {
                              deliver_event(engine.data_centre, reader, event);
                          });
}

void virtual_deployment::send_attempt_cancel(std::size_t daemon,
                                             attempt_cancel const &cancel)
{
    virtual_reader const reader{origin_of(daemon), cancel.attempt};
    auto const data_centre = engines_.at(cancel.engine).data_centre;
    if (is_cut(data_centre_of(daemon), data_centre))
    {
        return;
    }
    at(now_ + delay_to(daemon, data_centre),
       [this, reader, cancel]
       {
           auto &engine = engines_.at(cancel.engine);
           auto const found = engine.readers.find(cancel.stream_key);
           if (found != engine.readers.end() && found->second == reader)
           {
               engine.readers.erase(found);
               engine.model->cancel(cancel.stream_key);
           }
       });
}

void virtual_deployment::deliver_event(std::string const &data_centre,
                                       virtual_reader reader,
                                       standin_event event)
{
    auto const message = to_engine_event(reader.attempt, std::move(event));
    auto const fault =
        engine_event_fault ? engine_event_fault(message) : message_fault();
    if (is_cut(data_centre_of(reader.origin.daemon), data_centre))
    {
        return;
    }
    auto const delay =
        delay_to(reader.origin.daemon, data_centre) + fault.delay;
    auto const put = [message](inbox &in)
    { in.engine_events.push_back(message); };
    if (!fault.lost)
    {
        deliver(reader.origin, delay, put);
    }
    if (fault.duplicated)
    {
        deliver(reader.origin, delay * 2, put);
    }
}

void virtual_deployment::deliver_events(std::string const &data_centre,
                                        virtual_origin origin,
                                        std::vector<engine_event> events)
{
    if (is_cut(data_centre_of(origin.daemon), data_centre))
    {
        return;
    }
    // std::function requires a copyable closure; sharing the events avoids
    // copying them.
    auto const batch =
        std::make_shared<std::vector<engine_event>>(std::move(events));
    deliver(origin, delay_to(origin.daemon, data_centre),
            [batch](inbox &in) {
                std::ranges::move(*batch, std::back_inserter(in.engine_events));
            });
}

void virtual_deployment::plan_step(std::string const &name)
{
    auto &engine = engines_.at(name);
    auto const next = engine.model->step_ends_at();
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
    std::map<virtual_origin, std::vector<engine_event>> by_origin;
    for (auto &event : events)
    {
        auto const reader = engine.readers.find(event.stream_key);
        if (reader == engine.readers.end())
        {
            continue;
        }
        auto const target = reader->second;
        if (event.kind == engine_event_kind::finished ||
            event.kind == engine_event_kind::prefilled)
        {
            engine.readers.erase(reader);
        }
        if (engine.reachable)
        {
            if (engine_event_fault)
            {
                deliver_event(engine.data_centre, target, event);
                continue;
            }
            by_origin[target.origin].push_back(
                to_engine_event(target.attempt, std::move(event)));
        }
    }
    for (auto &[origin, batch] : by_origin)
    {
        deliver_events(engine.data_centre, origin, std::move(batch));
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
        for (std::size_t i = 0; i < daemons_.size(); ++i)
        {
            if (!is_cut(data_centre_of(i), engine.data_centre))
            {
                deliver(origin_of(i), delays_.load_report_lag,
                        [report](inbox &in)
                        { in.load_reports.push_back(report); });
            }
        }
        report_cache_events(engine);
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
           for (auto const &daemon : daemons_)
           {
               if (!daemon.alive)
               {
                   continue;
               }
               auto &in = daemon.state->in.cache_events;
               in.insert(in.end(), events->begin(), events->end());
           }
       });
}

void virtual_deployment::send_service_call(std::size_t daemon,
                                           service_call const &call)
{
    auto &state = *daemons_[daemon].state;
    auto const endpoint =
        state.endpoints.at(*state.endpoints.find(call.endpoint)).definition;
    auto const request = state.attempts.find(call.attempt)->request;
    if (on_work_sent)
    {
        on_work_sent(daemon, call.endpoint);
    }
    at(now_ + delay_to(daemon, endpoint.data_centre),
       [this, origin = origin_of(daemon), request, call, endpoint]
       { answer_service_call(origin, request, call, endpoint); });
}

void virtual_deployment::answer_service_call(
    virtual_origin origin, request_number request, service_call const &call,
    endpoint_definition const &endpoint)
{
    auto const delay = delay_to(origin.daemon, endpoint.data_centre);
    auto const &here = data_centre_of(origin.daemon);
    service_reply reply;
    reply.attempt = call.attempt;
    reply.kind = service_reply_kind::failed_before_send;
    auto const put = [&reply, this, origin](duration after)
    {
        deliver(origin, after,
                [reply](inbox &in) { in.service_replies.push_back(reply); });
    };
    if (closed_endpoints.contains(call.endpoint) ||
        is_cut(here, endpoint.data_centre))
    {
        put(delay);
        return;
    }
    auto const answer = services_[endpoint.service].call(
        call.method, call.idempotency_key, call.body ? *call.body : "");
    if (on_service_effect)
    {
        on_service_effect(origin.daemon, request, call);
    }
    auto const fault =
        service_reply_fault ? service_reply_fault(call) : message_fault();
    auto const after = delay + delays_.service_time + fault.delay;
    if (fault.lost || after > call.timeout)
    {
        reply.kind = service_reply_kind::failed_after_send;
        put(call.timeout);
        return;
    }
    reply.kind = service_reply_kind::answered;
    reply.http_status = answer.http_status;
    reply.body = answer.body;
    put(after);
}

void virtual_deployment::send_table_call(std::size_t daemon,
                                         table_call const &call)
{
    at(now_ + delays_.table_service, [this, origin = origin_of(daemon), call]
       { deliver_table_call(origin, call); });
}

table_reply virtual_deployment::apply_table_call(virtual_origin origin,
                                                 table_call const &call)
{
    std::optional<table_outcome> fault;
    if (table_fault)
    {
        fault = table_fault(origin.daemon, call);
    }
    if (is_cut(data_centre_of(origin.daemon), platform))
    {
        fault = table_outcome::unavailable;
    }
    bool const lost =
        fault.value_or(table_outcome::committed) == table_outcome::unknown;
    table_reply reply;
    bool const write_lost = lost && lose_table_write && lose_table_write(call);
    if (lost && !write_lost && late_write_delay)
    {
        at(now_ + late_write_delay(), [this, call] { table_.apply(call); });
    }
    else if (!fault || (lost && !write_lost))
    {
        reply = table_.apply(call);
    }
    if (fault)
    {
        reply.outcome = *fault;
        reply.rows.clear();
    }
    return reply;
}

void virtual_deployment::deliver_table_call(virtual_origin origin,
                                            table_call const &call)
{
    auto reply = apply_table_call(origin, call);
    reply.operation = call.operation;
    reply.owner = call.owner;
    deliver(origin, delays_.table_service,
            [reply](inbox &in) { in.table_replies.push_back(reply); });
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
        at(now_ + delay + extra,
           [this, origin = origin_of(daemon), order = call.order]
           { deliver_order(origin, order); });
    }
}

void virtual_deployment::deliver_order(virtual_origin origin,
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
    deliver(origin, delays_.within_data_centre,
            [reply](inbox &in) { in.order_replies.push_back(reply); });
}

void virtual_deployment::add_peers(world &w)
{
    for (auto const &peer : daemons_)
    {
        auto const &identity = peer.identity;
        agateledge::add_peer(w, identity.name, identity.address,
                             identity.data_centre);
    }
}

std::optional<std::size_t>
virtual_deployment::find_daemon(std::string const &name) const
{
    auto const found =
        std::ranges::find_if(daemons_, [&name](virtual_daemon const &daemon)
                             { return daemon.identity.name == name; });
    return found == daemons_.end()
               ? std::nullopt
               : std::optional<std::size_t>(found - daemons_.begin());
}

bool virtual_deployment::reaches(std::size_t from, std::size_t to) const
{
    return daemons_[from].alive && daemons_[to].alive && !daemons_[to].paused &&
           !is_cut(data_centre_of(from), data_centre_of(to)) &&
           (!daemon_reachable || daemon_reachable(from, to));
}

void virtual_deployment::send_peer_call(std::size_t daemon,
                                        peer_call const &call)
{
    auto const peer = find_daemon(call.peer);
    if (!peer || !reaches(daemon, *peer))
    {
        fail_peer_call(origin_of(daemon), call.peer);
        return;
    }
    at(now_ + delay_to(daemon, data_centre_of(*peer)),
       [this, origin = origin_of(daemon), peer = *peer, message = call.message]
       { answer_peer_call(origin, peer, message); });
}

void virtual_deployment::answer_peer_call(virtual_origin origin,
                                          std::size_t peer,
                                          heartbeat const &message)
{
    if (!daemons_[peer].alive || daemons_[peer].paused)
    {
        fail_peer_call(origin, daemons_[peer].identity.name);
        return;
    }
    daemons_[peer].state->in.heartbeats.push_back(message);
    plan_tick(peer, now_);
    if (!reaches(peer, origin.daemon))
    {
        fail_peer_call(origin, daemons_[peer].identity.name);
        return;
    }
    auto const reply =
        make_heartbeat(*daemons_[peer].state, now_, message.sequence);
    deliver(origin, delay_to(peer, data_centre_of(origin.daemon)),
            [reply](inbox &in) { in.heartbeats.push_back(reply); });
}

void virtual_deployment::fail_peer_call(virtual_origin origin,
                                        std::string const &peer)
{
    deliver(origin, delays_.peer_call_timeout,
            [peer](inbox &in) { in.peer_failures.push_back({peer}); });
}

void virtual_deployment::send_configuration_fetch(
    std::size_t daemon, configuration_fetch const &fetch)
{
    auto const peer = find_daemon(fetch.peer);
    auto const origin = origin_of(daemon);
    if (!peer || !reaches(daemon, *peer) || !reaches(*peer, daemon))
    {
        fail_peer_call(origin, fetch.peer);
        return;
    }
    auto &state = *daemons_[*peer].state;
    configuration_document document;
    document.from = state.identity.name;
    document.document = configuration_to_json(state.config);
    document.revision_age_us = make_heartbeat(state, now_).revision_age_us;
    deliver(origin, delay_to(daemon, data_centre_of(*peer)) * 2,
            [document](inbox &in)
            { in.configuration_documents.push_back(document); });
}

void virtual_deployment::report_hosts()
{
    if (!hosts_.empty())
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i)
        {
            if (!is_cut(data_centre_of(i), platform))
            {
                deliver(origin_of(i), duration(0),
                        [this](inbox &in)
                        { in.membership_reports.push_back({hosts_}); });
            }
        }
    }
    at(now_ + delays_.host_report_interval, [this] { report_hosts(); });
}

} // namespace agateledge
