#include "fault_schedule.hpp"

#include "apply_configuration.hpp"
#include "configuration_head.hpp"
#include "internal_assert.hpp"
#include "virtual_callers.hpp"
#include "virtual_deployment.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace agateledge
{

namespace
{

/// Mean time between two faults of one kind.
constexpr double mean_interval_seconds = 6;

/// Longest time until a daemon applies a new configuration.
constexpr duration max_configuration_lag = seconds(4);

/// Longest time after the start of a drain in which new work may still be sent
/// to the target. Exceeds `max_configuration_lag`, since a daemon may not know
/// of the drain until then.
constexpr duration max_work_after_drain = seconds(5);

/// Two drain time-outs and the longest call.
constexpr duration max_shutdown_time = seconds(40);

constexpr duration default_load_report_lag = milliseconds(300);

constexpr double half = 0.5;

duration random_duration(random_source &random, duration longest)
{
    return duration(1 +
                    random.below(static_cast<std::uint64_t>(longest.count())));
}

} // namespace

fault_schedule::fault_schedule(virtual_deployment &deployment,
                               virtual_callers &callers, std::uint64_t seed,
                               std::set<std::string> const &without)
    : deployment_(deployment), callers_(callers), random_(seed)
{
    add_daemon_faults(seed);
    add_network_faults(seed);
    add_store_faults(seed);
    add_engine_faults(seed);
    add_planned_changes(seed);
    add_caller_faults(seed);
    install_hooks();
    for (std::size_t i = 0; i < kinds_.size(); ++i)
    {
        if (!without.contains(kinds_[i].name))
        {
            plan(i);
        }
    }
}

std::vector<std::string> fault_schedule::kinds()
{
    return {"kill",           "pause",           "cut_data_centres",
            "cut_platform",   "lost_write",      "store_outage",
            "engine_crash",   "slow_engine",     "lagging_reports",
            "event_disorder", "closed_endpoint", "lost_answer",
            "engine_drain",   "endpoint_drain",  "racing_operators",
            "planned_stop",   "reconnect",       "repeat"};
}

void fault_schedule::add(std::string const &name, std::uint64_t seed,
                         std::function<std::string(random_source &)> fire)
{
    auto const kind_seed = seed * 1000003 + kinds_.size();
    kinds_.push_back({name, random_source(kind_seed), std::move(fire)});
}

void fault_schedule::after(duration delay, std::function<void()> action)
{
    deployment_.at(deployment_.now() + delay, std::move(action));
}

void fault_schedule::plan(std::size_t index)
{
    auto &random = kinds_[index].random;
    auto const wait = -std::log(1 - random.uniform()) * mean_interval_seconds;
    after(from_seconds(wait),
          [this, index]
          {
              if (!ended_)
              {
                  fire(index);
                  plan(index);
              }
          });
}

void fault_schedule::fire(std::size_t index)
{
    auto &kind = kinds_[index];
    auto target = kind.fire(kind.random);
    fired_.push_back({deployment_.now(), kind.name, std::move(target)});
    // One fault in five is followed by another of its kind within 500 ms.
    constexpr std::uint64_t one_in = 5;
    if (kind.random.below(one_in) == 0)
    {
        after(random_duration(kind.random, milliseconds(500)),
              [this, index]
              {
                  if (!ended_)
                  {
                      fire(index);
                  }
              });
    }
}

std::string fault_schedule::inject_for_random_time(random_source &random,
                                                   int &counter,
                                                   duration longest)
{
    auto const length = random_duration(random, longest);
    ++counter;
    after(length, [&counter] { --counter; });
    return std::to_string(length.count()) + " us";
}

std::size_t fault_schedule::pick_daemon(random_source &random) const
{
    return random.below(deployment_.daemons().size());
}

std::string fault_schedule::pick_engine(random_source &random) const
{
    auto const &engines = deployment_.engines();
    auto const place = random.below(engines.size());
    return std::next(engines.begin(), static_cast<std::ptrdiff_t>(place))
        ->first;
}

std::string fault_schedule::kill(random_source &random)
{
    auto const index = pick_daemon(random);
    auto const down = random_duration(random, seconds(5));
    auto const &daemon = deployment_.daemons()[index];
    if (daemon.alive)
    {
        deployment_.kill(index);
        callers_.handle_daemon_end(index, false);
        after(down, [this, index] { deployment_.restart(index); });
    }
    return daemon.identity.name;
}

std::string fault_schedule::pause(random_source &random)
{
    auto const index = pick_daemon(random);
    auto const &daemon = deployment_.daemons()[index];
    auto const length = random_duration(random, seconds(8));
    if (daemon.alive && !daemon.paused)
    {
        deployment_.pause(index);
        after(length,
              [this, index, incarnation = daemon.incarnation]
              {
                  auto const &paused = deployment_.daemons()[index];
                  if (paused.alive && paused.incarnation == incarnation)
                  {
                      deployment_.resume(index);
                  }
              });
    }
    return daemon.identity.name + " " + std::to_string(length.count()) + " us";
}

std::string fault_schedule::stop(random_source &random)
{
    auto const index = pick_daemon(random);
    auto const &daemon = deployment_.daemons()[index];
    if (daemon.alive)
    {
        deployment_.stop(index);
        after(max_shutdown_time,
              [this, index, incarnation = daemon.incarnation]
              {
                  auto const &stopped = deployment_.daemons()[index];
                  internal_assert(
                      !stopped.alive || stopped.incarnation != incarnation,
                      "shutdown of daemon ", index, " has not ended");
              });
    }
    return daemon.identity.name;
}

std::string fault_schedule::cut(random_source &random, std::string const &one,
                                std::string const &other)
{
    auto const length = random_duration(random, seconds(10));
    std::pair const link{one, other};
    ++active_cuts_[link];
    deployment_.cuts.insert(link);
    after(length,
          [this, link]
          {
              if (--active_cuts_[link] == 0)
              {
                  deployment_.cuts.erase(link);
              }
          });
    return one + "-" + other + " " + std::to_string(length.count()) + " us";
}

void fault_schedule::set_draining(std::string const &name, bool draining)
{
    auto &config = deployment_.config();
    auto const head = configuration_head_from_text(
        deployment_.table().row(configuration_head_key).value);
    config.revision = revision_number(head.revision.value() + 1);
    for (auto &engine : config.engines)
    {
        engine.draining = engine.name == name ? draining : engine.draining;
    }
    for (auto &endpoint : config.endpoints)
    {
        endpoint.draining =
            endpoint.name == name ? draining : endpoint.draining;
    }
    deployment_.store_configuration();
    for (auto &daemon : deployment_.daemons())
    {
        // A daemon that can reach neither the table service nor a peer learns
        // of a drain from the platform's list of leaving hosts, which lags.
        after(random_duration(random_, max_configuration_lag), [&daemon, config]
              { activate_configuration(*daemon.state, config); });
    }
}

std::string fault_schedule::drain(random_source &random,
                                  std::string const &name)
{
    auto const length = seconds(4) + random_duration(random, seconds(8));
    if (draining_since_.contains(name))
    {
        return name + " is already draining";
    }
    draining_since_[name] = deployment_.now();
    set_draining(name, true);
    after(length,
          [this, name]
          {
              draining_since_.erase(name);
              set_draining(name, false);
          });
    return name;
}

std::string fault_schedule::race_operators(random_source &random)
{
    auto const first = pick_daemon(random);
    auto const second = pick_daemon(random);
    for (auto const index : {first, second})
    {
        // The proposal keeps the current drains; only `set_draining` sets them.
        auto next = deployment_.config();
        next.revision = deployment_.daemons()[index].state->config.revision;
        next.policy.retry_share = random.uniform() / 2;
        deployment_.propose(index, std::move(next));
    }
    return std::to_string(first) + " and " + std::to_string(second);
}

void fault_schedule::check_not_draining(std::string const &target) const
{
    auto const found = draining_since_.find(target);
    internal_assert(found == draining_since_.end() ||
                        deployment_.now() - found->second <=
                            max_work_after_drain,
                    "new work for ", target, ", which has been draining for ",
                    found == draining_since_.end()
                        ? 0
                        : (deployment_.now() - found->second).count(),
                    " us");
}

void fault_schedule::add_daemon_faults(std::uint64_t seed)
{
    add("kill", seed, [this](random_source &random) { return kill(random); });
    add("pause", seed, [this](random_source &random) { return pause(random); });
}

void fault_schedule::add_network_faults(std::uint64_t seed)
{
    add("cut_data_centres", seed,
        [this](random_source &random)
        {
            auto const one = pick_daemon(random);
            auto const engine = pick_engine(random);
            return cut(random, deployment_.daemons()[one].identity.data_centre,
                       deployment_.engines().at(engine).data_centre);
        });
    add("cut_platform", seed,
        [this](random_source &random)
        {
            auto const one = pick_daemon(random);
            return cut(random, deployment_.daemons()[one].identity.data_centre,
                       "platform");
        });
}

void fault_schedule::add_store_faults(std::uint64_t seed)
{
    add("lost_write", seed,
        [this](random_source &random)
        { return inject_for_random_time(random, lost_writes_, seconds(3)); });
    add("store_outage", seed,
        [this](random_source &random) {
            return inject_for_random_time(random, store_outages_, seconds(12));
        });
}

void fault_schedule::add_engine_faults(std::uint64_t seed)
{
    add("engine_crash", seed,
        [this](random_source &random)
        {
            auto name = pick_engine(random);
            deployment_.crash_engine(name);
            return name;
        });
    add("slow_engine", seed,
        [this](random_source &random)
        {
            constexpr double slow = 0.1;
            auto name = pick_engine(random);
            auto &options = deployment_.engines().at(name).model->options();
            options.speed = slow;
            after(random_duration(random, seconds(10)),
                  [&options] { options.speed = 1.0; });
            return name;
        });
    add("lagging_reports", seed,
        [this](random_source &random)
        {
            auto &lag = deployment_.delays().load_report_lag;
            lag = random_duration(random, seconds(4));
            after(random_duration(random, seconds(8)),
                  [&lag] { lag = default_load_report_lag; });
            return std::to_string(lag.count()) + " us";
        });
    add("event_disorder", seed,
        [this](random_source &random)
        { return inject_for_random_time(random, disordered_, seconds(2)); });
}

void fault_schedule::add_planned_changes(std::uint64_t seed)
{
    auto const &endpoints = deployment_.config().endpoints;
    auto const pick = [&endpoints](random_source &random)
    { return endpoints.at(random.below(endpoints.size())).name; };
    add("closed_endpoint", seed,
        [this, pick](random_source &random)
        {
            auto name = pick(random);
            deployment_.closed_endpoints.insert(name);
            after(random_duration(random, seconds(3)),
                  [this, name] { deployment_.closed_endpoints.erase(name); });
            return name;
        });
    add("lost_answer", seed,
        [this](random_source &random)
        { return inject_for_random_time(random, lost_answers_, seconds(2)); });
    add("engine_drain", seed,
        [this](random_source &random)
        { return drain(random, pick_engine(random)); });
    add("endpoint_drain", seed,
        [this, pick](random_source &random)
        { return drain(random, pick(random)); });
    add("racing_operators", seed,
        [this](random_source &random) { return race_operators(random); });
    add("planned_stop", seed,
        [this](random_source &random) { return stop(random); });
}

void fault_schedule::add_caller_faults(std::uint64_t seed)
{
    add("reconnect", seed,
        [this](random_source &)
        {
            callers_.reconnect_random_stream();
            return std::string();
        });
    add("repeat", seed,
        [this](random_source &)
        {
            callers_.repeat_random_booking();
            return std::string();
        });
}

void fault_schedule::install_hooks()
{
    deployment_.on_work_sent = [this](std::size_t, std::string const &target)
    { check_not_draining(target); };
    deployment_.on_stopped = [this](std::size_t index)
    {
        callers_.handle_daemon_end(index, true);
        after(random_duration(random_, seconds(2)),
              [this, index] { deployment_.restart(index); });
    };
    deployment_.table_fault =
        [this](std::size_t,
               table_call const &call) -> std::optional<table_outcome>
    {
        bool const lost = random_.uniform() < half;
        if (store_outages_ > 0)
        {
            return lost && call.is_write() ? table_outcome::unknown
                                           : table_outcome::unavailable;
        }
        return lost_writes_ > 0 && lost ? std::optional(table_outcome::unknown)
                                        : std::nullopt;
    };
    deployment_.late_write_delay = [this]
    {
        return random_.uniform() < half
                   ? duration(0)
                   : random_duration(random_, milliseconds(300));
    };
    deployment_.engine_event_fault = [this](engine_event const &)
    {
        constexpr double rare = 0.1;
        message_fault fault;
        if (disordered_ > 0)
        {
            fault.lost = random_.uniform() < rare;
            fault.duplicated = random_.uniform() < rare;
            fault.delay = random_.uniform() < rare
                              ? random_duration(random_, milliseconds(400))
                              : duration(0);
        }
        return fault;
    };
    deployment_.service_reply_fault = [this](service_call const &)
    {
        message_fault fault;
        fault.lost = lost_answers_ > 0 && random_.uniform() < half;
        fault.delay = random_duration(random_, milliseconds(40));
        return fault;
    };
}

} // namespace agateledge
