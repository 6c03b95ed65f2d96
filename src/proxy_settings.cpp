#include "proxy_settings.hpp"

#include "duty_names.hpp"
#include "settings_reader.hpp"

#include <algorithm>
#include <string>

namespace agateledge
{

namespace
{

constexpr double max_retry_share = 10;
constexpr double max_extra_retries = 1e6;
constexpr int max_descriptors_limit = 1 << 20;

void read_listen(settings_reader &root, proxy_settings &out)
{
    auto const *table = root.table("listen");
    if (table == nullptr)
    {
        root.report("listen", "is missing");
        return;
    }
    auto reader = root.subtable(*table, "listen");
    reader.read_address("callers", out.caller_address, true);
    reader.read_address("readiness", out.readiness_address, true);
    reader.read_address("metrics", out.metrics_address, true);
    reader.read("metrics_path", out.metrics_path);
    reader.read_address("peers", out.peer_address);
    reader.report_unknown_keys();
}

void read_store(settings_reader &root, proxy_settings &out)
{
    auto const *table = root.table("store");
    if (table == nullptr)
    {
        root.report("store", "is missing");
        return;
    }
    auto reader = root.subtable(*table, "store");
    reader.read_address("address", out.store_address, true);
    reader.report_unknown_keys();
}

void read_limits(settings_reader &root, proxy_settings &out)
{
    auto const *table = root.table("limits");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "limits");
    reader.read("max_descriptors", out.max_descriptors, 64,
                max_descriptors_limit);
    reader.read_milliseconds("head_timeout_ms", out.head_timeout);
    reader.read_milliseconds("silent_client_ms", out.silent_client_time);
    reader.read_milliseconds("stalled_client_ms", out.stalled_client_time);
    reader.read("internal_connections", out.internal_connections, 2,
                max_descriptors_limit);
    reader.read_megabytes("memory_mb", out.limits.memory.host_bytes);
    reader.read_seconds("shutdown_grace_s", out.limits.shutdown_grace);
    reader.read_milliseconds("drain_bound_ms", out.limits.drain_bound);
    reader.read_milliseconds("reconnect_bound_ms", out.limits.reconnect_bound);
    reader.read_milliseconds("configuration_bound_ms",
                             out.limits.configuration_bound);
    reader.report_unknown_keys();
}

void read_retries(settings_reader &root, proxy_settings &out)
{
    auto const *table = root.table("retries");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "retries");
    auto &retries = out.limits.retries;
    reader.read("share", retries.share, 0.0, max_retry_share);
    reader.read("extra", retries.extra, 0.0, max_extra_retries);
    reader.read_seconds("window_s", retries.window);
    reader.report_unknown_keys();
}

void read_duties(settings_reader &root, proxy_settings &out)
{
    auto const *table = root.table("duties");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "duties");
    auto &duties = out.limits.duties;
    constexpr double max_calls_per_second = 1e6;
    reader.read_address("platform", duties.platform_address, true);
    auto const names = reader.strings("names");
    duties.reports_usage = std::ranges::count(names, platform::usage_duty) != 0;
    duties.orders_capacity =
        std::ranges::count(names, platform::capacity_duty) != 0;
    reader.read("calls_per_s", duties.calls_per_second, 0.1,
                max_calls_per_second);
    reader.read_milliseconds("lease_ms", duties.lease_time);
    reader.read_milliseconds("thaw_slack_ms", duties.thaw_slack);
    reader.read_seconds("usage_window_s", duties.usage_window);
    reader.read_seconds("usage_due_s", duties.usage_due);
    reader.report_unknown_keys();
}

void read_engine_roles(settings_reader &root, proxy_settings &out)
{
    auto const *table = root.table("engine_roles");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "engine_roles");
    auto &duties = out.limits.duties;
    reader.read("assign", duties.assigns_roles);
    reader.read_milliseconds("lease_ms", duties.lease_time);
    reader.report_unknown_keys();
}

void read_settings(settings_reader &root, proxy_settings &out)
{
    root.read("name", out.name, true);
    root.read("data_centre", out.data_centre, true);
    root.read_choice("log_level", out.log_level,
                     {"debug", "info", "warning", "error"});
    read_listen(root, out);
    read_store(root, out);
    read_limits(root, out);
    read_retries(root, out);
    read_duties(root, out);
    read_engine_roles(root, out);
    root.report_unknown_keys();
}

} // namespace

absl::StatusOr<proxy_settings> parse_proxy_settings(std::string const &text,
                                                    std::string const &file)
{
    proxy_settings out;
    auto const status = read_settings_text(text, file,
                                           [&out](settings_reader &root)
                                           { read_settings(root, out); });
    if (!status.ok())
    {
        return status;
    }
    return out;
}

absl::StatusOr<proxy_settings> load_proxy_settings(std::string const &file)
{
    auto const text = read_settings_file(file);
    return text.ok() ? parse_proxy_settings(*text, file) : text.status();
}

} // namespace agateledge
