#include "follow_store_era.hpp"

#include "log_proxied_request.hpp"
#include "poll_schedule.hpp"
#include "store_view_state.hpp"
#include "world.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace agateledge
{

namespace
{

/// Time for which the announcement of a draining instance is remembered in case
/// the store returns from a copy, which is some seconds old.
constexpr duration drain_retention = seconds(30);

/// Time after the store's return from a copy during which a row that shows a
/// draining instance as ready is taken to be old. Running instances rewrite
/// their rows within 2 s.
constexpr duration reverted_row_time = seconds(10);

void restart_reads(world &w)
{
    std::ranges::for_each(w.proxy.table_polls,
                          [&w](table_poll_state &poll_state)
                          {
                              poll_state.needs_full_read = true;
                              poll_state.after_key.clear();
                              poll_state.first_page_version = 0;
                              poll_state.version = 0;
                              poll_state.next_read = w.now;
                          });
    w.proxy.listed_instances.clear();
    std::ranges::for_each(w.proxy.instances.all(),
                          [](auto &item)
                          {
                              item.second.row_version = 0;
                              item.second.missing_as_of = 0;
                          });
    store_view_of(w).removed.clear();
}

} // namespace

store_view_state &store_view_of(world &w)
{
    if (!w.proxy.store_view)
    {
        w.proxy.store_view = std::make_shared<store_view_state>();
    }
    return *w.proxy.store_view;
}

void follow_store_era(world &w, std::uint64_t era)
{
    auto &store = w.proxy.store;
    if (era <= store.era)
    {
        return;
    }
    auto const before = std::exchange(store.era, era);
    if (before == 0)
    {
        return;
    }
    store_view_of(w).era_changed_at = w.now;
    store_view_of(w).newest_version = 0;
    store_view_of(w).read_newest_versions = {};
    restart_reads(w);
    w.proxy.next_daemon_row = w.now;
    log_proxied_request(
        w, log_level::warning, "store_era_changed",
        {{"era", std::to_string(era)}, {"before", std::to_string(before)}});
}

bool is_of_older_era(world &w, row_read_reply const &reply)
{
    auto const known = w.proxy.store.era;
    auto const sent_in =
        store_view_of(w).read_eras.at(static_cast<std::size_t>(reply.table));
    return reply.store_era != 0 &&
           (reply.store_era < known || (sent_in != 0 && sent_in < known));
}

bool in_era_grace(world &w)
{
    auto const changed_at = store_view_of(w).era_changed_at;
    return changed_at && w.now < *changed_at + missing_row_grace;
}

instance_definition without_reverted_drain(world &w, instance_definition row)
{
    if (w.proxy.store.era == 0)
    {
        return row;
    }
    auto &view = store_view_of(w);
    if (!row.accepts_work)
    {
        view.drained.extend(incarnation_of(row), w.now + drain_retention);
        return row;
    }
    if (view.era_changed_at && w.now < *view.era_changed_at + reverted_row_time)
    {
        auto const until = view.drained.find(row);
        row.accepts_work = !until || *until <= w.now;
    }
    return row;
}

} // namespace agateledge
