#include "daemon_loop.hpp"

#include "tick.hpp"
#include "world.hpp"

#include <glib.h>

#include <algorithm>
#include <ctime>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

template <class Item>
void for_each_item(std::vector<Item> const &items,
                   std::function<void(Item const &)> const &handler)
{
    if (handler)
    {
        std::ranges::for_each(items, handler);
    }
}

void remove_source(unsigned &source)
{
    if (source != 0)
    {
        g_source_remove(std::exchange(source, 0));
    }
}

} // namespace

daemon_loop::daemon_loop(world &state) : state_(state) {}

daemon_loop::~daemon_loop()
{
    remove_source(idle_source_);
    remove_source(timer_source_);
}

instant daemon_loop::clock_now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return instant(seconds(value.tv_sec) +
                   std::chrono::duration_cast<duration>(
                       std::chrono::nanoseconds(value.tv_nsec)));
}

inbox &daemon_loop::input()
{
    schedule_now();
    return state_.in;
}

void daemon_loop::schedule_now()
{
    if (idle_source_ != 0)
    {
        return;
    }
    idle_source_ = g_idle_add_full(
        G_PRIORITY_DEFAULT,
        [](gpointer self) -> gboolean
        {
            auto *loop = static_cast<daemon_loop *>(self);
            loop->idle_source_ = 0;
            loop->run_tick();
            return G_SOURCE_REMOVE;
        },
        this, nullptr);
}

void daemon_loop::schedule_wake()
{
    remove_source(timer_source_);
    if (!state_.next_wake)
    {
        return;
    }
    auto const delay = std::max(*state_.next_wake - clock_now(), duration(0));
    auto const rounded_up = std::chrono::ceil<milliseconds>(delay).count();
    timer_source_ = g_timeout_add_full(
        G_PRIORITY_DEFAULT, static_cast<guint>(rounded_up),
        [](gpointer self) -> gboolean
        {
            auto *loop = static_cast<daemon_loop *>(self);
            loop->timer_source_ = 0;
            loop->run_tick();
            return G_SOURCE_REMOVE;
        },
        this, nullptr);
}

void daemon_loop::run_tick()
{
    tick(state_, std::max(clock_now(), state_.now));
    dispatch_outbox();
    schedule_wake();
}

void daemon_loop::dispatch_outbox()
{
    auto const out = std::exchange(state_.out, {});
    for_each_item(out.log_entries, handlers.write_log);
    for_each_item(out.caller_replies, handlers.reply_to_caller);
    if (!out.caller_replies.empty() && handlers.flush_replies)
    {
        handlers.flush_replies();
    }
    for_each_item(out.engine_calls, handlers.call_engine);
    for_each_item(out.attempt_cancels, handlers.cancel_attempt);
    for_each_item(out.service_calls, handlers.call_service);
    for_each_item(out.table_calls, handlers.call_table);
    for_each_item(out.order_calls, handlers.send_order);
    for_each_item(out.peer_calls, handlers.call_peer);
    for_each_item(out.configuration_fetches, handlers.fetch_configuration);
    for_each_item(out.operator_replies, handlers.reply_to_operator);
    for_each_item(out.proxy_answers, handlers.answer_proxied_request);
    for_each_item(out.proxy_cancels, handlers.cancel_proxied_request);
    for_each_item(out.proxy_calls, handlers.call_instance);
    for_each_item(out.kv_releases, handlers.release_kv);
    for_each_item(out.cache_reads, handlers.read_cache);
    for_each_item(out.row_reads, handlers.read_rows);
    for_each_item(out.daemon_row_writes, handlers.write_daemon_row);
    for_each_item(out.peer_load_reports, handlers.send_peer_load);
    for_each_item(out.part_evidence_reports, handlers.send_part_evidence);
    for_each_item(out.row_transactions, handlers.write_rows);
    for_each_item(out.platform_calls, handlers.call_platform);
    for_each_item(out.engine_role_orders, handlers.order_engine_role);
    for_each_item(out.store_view_reports, handlers.send_store_view);
    for_each_item(out.usage_snapshots, handlers.send_usage_snapshot);
    for_each_item(out.account_load_reports, handlers.send_account_load);
    if (out.shutdown_complete && handlers.stop)
    {
        handlers.stop();
    }
}

} // namespace agateledge
