#include "order_model.hpp"

#include "lease_row.hpp"
#include "renew_leases.hpp"
#include "request_order.hpp"

#include <algorithm>
#include <array>

namespace agateledge
{

namespace
{

constexpr std::array<engine_role, 3> roles = {
    engine_role::prefill, engine_role::decode, engine_role::mixed};

configuration model_configuration(bool checks_fencing)
{
    configuration config;
    config.revision = revision_number(1);
    config.services = {{"assistant", false, "manual"}};
    config.policy.drain_timeout = seconds(3);
    for (auto const *name : {"engine-0", "engine-1"})
    {
        engine_definition engine;
        engine.name = name;
        engine.data_centre = "rennes-a";
        engine.model = "manual";
        engine.checks_fencing = checks_fencing;
        config.engines.push_back(engine);
    }
    return config;
}

} // namespace

order_model::order_model(bool checks_fencing, std::uint64_t seed)
    : deployment_(model_configuration(checks_fencing),
                  {"rennes-a", "rennes-a", "rennes-a"}, seed),
      checks_fencing_(checks_fencing)
{
    deployment_.table_fault = [this](std::size_t, table_call const &call)
    { return fault_of(call); };
    deployment_.lose_table_write = [this](table_call const &)
    { return deployment_.random().below(2) == 0; };
    deployment_.order_copies = [this](engine_order const &order)
    {
        if (deployment_.now() >= slow_copies_until_)
        {
            return std::vector<duration>{duration(0)};
        }
        // A copy arrives before the deadline of the order.
        auto const longest =
            static_cast<std::uint64_t>(order.time_to_live.count());
        auto &random = deployment_.random();
        std::vector<duration> copies(random.below(3));
        std::ranges::generate(copies,
                              [&] { return duration(random.below(longest)); });
        return copies;
    };
    deployment_.on_order = [this](engine_order const &, order_outcome outcome)
    { totals_.refusals += outcome == order_outcome::accepted ? 0 : 1; };
    deployment_.daemon_reachable = [this](std::size_t, std::size_t)
    { return deployment_.now() >= partition_until_; };
    advance(seconds(2));
}

void order_model::set_faults(fault_switches faults)
{
    for (auto &daemon : deployment_.daemons())
    {
        daemon.state->faults = faults;
    }
}

std::optional<table_outcome> order_model::fault_of(table_call const &call)
{
    if (deployment_.now() < outage_until_)
    {
        return table_outcome::unavailable;
    }
    if (deployment_.now() < lost_answers_until_ &&
        deployment_.random().below(2) == 0)
    {
        return call.is_write() ? table_outcome::unknown
                               : table_outcome::unavailable;
    }
    return std::nullopt;
}

void order_model::request(std::string const &engine, engine_role role)
{
    engine_order wanted;
    wanted.engine = engine;
    wanted.role = role;
    for (auto &daemon : deployment_.daemons())
    {
        if (!daemon.paused)
        {
            request_order(*daemon.state, wanted);
        }
    }
}

std::size_t order_model::holder() const
{
    auto const name =
        lease_row_from_text(deployment_.table().row("lease/rennes-a").value)
            .holder;
    auto const &daemons = deployment_.daemons();
    auto const found =
        std::ranges::find_if(daemons, [&name](virtual_daemon const &daemon)
                             { return daemon.state->identity.name == name; });
    return found == daemons.end()
               ? 0
               : static_cast<std::size_t>(found - daemons.begin());
}

void order_model::pause(std::size_t daemon, duration length)
{
    deployment_.daemons()[daemon].paused = true;
    deployment_.at(deployment_.now() + length, [this, daemon]
                   { deployment_.daemons()[daemon].paused = false; });
}

void order_model::apply(order_model_step const &step)
{
    auto const now = deployment_.now();
    auto const length = milliseconds(250) * step.amount;
    auto const engine = "engine-" + std::to_string(step.target % 2);
    switch (step.event)
    {
    case order_event::request:
        request(engine, roles.at(static_cast<std::size_t>(step.amount % 3)));
        return;
    case order_event::pause:
        // At least half of the pauses stop the holder of the lease.
        pause(step.target < 3 ? static_cast<std::size_t>(step.target)
                              : holder(),
              length);
        return;
    case order_event::store_outage:
        outage_until_ = now + length;
        return;
    case order_event::lost_answers:
        lost_answers_until_ = now + length;
        return;
    case order_event::crash:
        deployment_.engines().at(engine).model->crash(now);
        return;
    case order_event::slow_copies:
        slow_copies_until_ = now + length;
        return;
    case order_event::partition:
        partition_until_ = now + length;
        return;
    case order_event::wait:
        return;
    }
}

void order_model::run(std::vector<order_model_step> const &steps)
{
    for (auto const &step : steps)
    {
        apply(step);
        advance(milliseconds(100) * (1 + step.amount));
    }
}

void order_model::settle()
{
    auto const now = deployment_.now();
    outage_until_ = lost_answers_until_ = slow_copies_until_ =
        partition_until_ = now;
    for (auto &daemon : deployment_.daemons())
    {
        daemon.paused = false;
    }
    advance(seconds(45));
    for (auto const &[engine, view] : views_)
    {
        if (view.version != 0 && view.last.state == order_record_state::open)
        {
            violations_.push_back("order " + view.last.order.id +
                                  " is still open");
        }
    }
}

void order_model::advance(duration length)
{
    auto const end = deployment_.now() + length;
    while (deployment_.step(end))
    {
        check_rows();
        check_effects();
        check_holders();
    }
}

void order_model::check_rows()
{
    for (auto const &[name, engine] : deployment_.engines())
    {
        auto const row = deployment_.table().row("order/" + name);
        auto &view = views_[name];
        if (row.version != view.version)
        {
            check_row_change(view, *order_record_from_text(row.value));
            view.version = row.version;
        }
    }
    auto const fence = deployment_.table().row("fence/rennes-a");
    auto const fencing = lease_row_from_text(fence.value).fencing.value();
    if (fencing < highest_fencing_)
    {
        violations_.emplace_back("the fencing number decreased");
    }
    totals_.takeovers += fencing != highest_fencing_ ? 1 : 0;
    highest_fencing_ = fencing;
}

/// An order may be replaced in its row only after it was resolved.
void order_model::check_row_change(engine_view &view, order_record const &next)
{
    bool const was_open =
        view.version != 0 && view.last.state == order_record_state::open;
    if (was_open && next.order.id != view.last.order.id)
    {
        violations_.push_back("order " + next.order.id + " replaced " +
                              view.last.order.id + ", which was open");
    }
    if (next.order.fencing < view.last.order.fencing)
    {
        violations_.push_back("order " + next.order.id +
                              " was recorded with an outdated fencing number");
    }
    bool const adopted =
        was_open && next.order.fencing > view.last.order.fencing;
    totals_.adoptions += adopted ? 1 : 0;
    totals_.lost += next.state == order_record_state::lost ? 1 : 0;
    view.last = next;
}

/// Only the recorded order may take effect; on an engine that checks fencing
/// numbers, only while the order is open.
void order_model::check_effects()
{
    for (auto const &[name, engine] : deployment_.engines())
    {
        auto &view = views_[name];
        auto const &effects = engine.model->applied_orders();
        for (; view.effects < effects.size(); ++view.effects)
        {
            auto const &order = effects[view.effects];
            ++totals_.effects;
            bool const recorded = view.version != 0 &&
                                  view.last.order.id == order.id &&
                                  view.last.order.role == order.role;
            if (!recorded || (checks_fencing_ &&
                              view.last.state != order_record_state::open))
            {
                violations_.push_back(
                    "order " + order.id +
                    " took effect, but the recorded order is " +
                    view.last.order.id);
            }
        }
    }
}

void order_model::check_holders()
{
    auto const holders = std::ranges::count_if(
        deployment_.daemons(),
        [this](virtual_daemon const &daemon)
        {
            auto const *lease = daemon.state->leases.find("rennes-a");
            return lease != nullptr &&
                   authority_is_valid(*lease, deployment_.now());
        });
    if (holders > 1)
    {
        violations_.emplace_back("two daemons hold authority");
    }
}

} // namespace agateledge
