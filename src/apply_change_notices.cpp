#include "apply_change_notices.hpp"

#include "issue_orders.hpp"
#include "reassign_open_work.hpp"
#include "world.hpp"

#include <string>
#include <vector>

namespace agateledge
{

namespace
{

bool has_ended(world const &w, engine_state const &engine,
               change_notice const &notice)
{
    return w.now - notice.stated_at >= change_notice_lifetime ||
           (engine.report && engine.report->generation > notice.generation);
}

} // namespace

void apply_change_notices(world &w)
{
    std::vector<std::string> ended;
    for (auto &[name, notice] : w.orders.notices)
    {
        auto const index = w.engines.find(name);
        if (has_ended(w, w.engines.at(*index), notice))
        {
            ended.push_back(name);
            continue;
        }
        wake_at(w, notice.stated_at + change_notice_lifetime);
        auto const move_at =
            notice.first_received_at + w.config.policy.drain_timeout;
        if (!notice.work_moved && w.now >= move_at)
        {
            notice.work_moved = true;
            reassign_open_work(w, *index);
        }
    }
    for (auto const &name : ended)
    {
        w.orders.notices.erase(name);
        refresh_changing(w, name);
    }
}

} // namespace agateledge
