#include "role_change_executor.hpp"

namespace agateledge
{

namespace
{

constexpr duration poll_interval = milliseconds(100);
/// Time after which the order is sent even if streams are still open.
constexpr duration drain_timeout = seconds(60);

} // namespace

bool role_change_executor::apply(engine_order const &order)
{
    if (open_.contains(order.engine))
    {
        return false;
    }
    open_[order.engine] = {order, deployment_.now(), false};
    set_changing(order.engine, true);
    deployment_.at(deployment_.now() + poll_interval,
                   [this, name = order.engine] { poll(name); });
    return true;
}

void role_change_executor::set_changing(std::string const &engine,
                                        bool changing)
{
    for (auto &daemon : deployment_.daemons())
    {
        auto &state = *daemon.state;
        state.engines.at(*state.engines.find(engine)).changing = changing;
        state.candidates.invalidate();
    }
}

void role_change_executor::poll(std::string const &engine)
{
    auto &change = open_.at(engine);
    auto &model = *deployment_.engines().at(engine).model;
    auto const now = deployment_.now();
    auto const load = model.load();
    bool const empty = load.running + load.waiting == 0;
    if (!change.sent && (empty || now - change.started_at > drain_timeout))
    {
        change.order.expected_generation = load.generation;
        change.order.id = engine + ":" + std::to_string(load.generation);
        change.order.fencing = fencing_number(1);
        model.order(change.order, now);
        change.sent = true;
        ++changes_;
    }
    std::vector<standin_event> events;
    if (change.sent && empty)
    {
        model.advance(now, events);
    }
    if (change.sent && model.load().ready)
    {
        time_unavailable_ += now - change.started_at;
        open_.erase(engine);
        set_changing(engine, false);
        return;
    }
    deployment_.at(now + poll_interval, [this, engine] { poll(engine); });
}

} // namespace agateledge
