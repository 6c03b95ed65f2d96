#include "proxy_metrics_text.hpp"

#include "account_metrics_text.hpp"
#include "capacity_state.hpp"
#include "duty_state.hpp"
#include "engine_metrics_text.hpp"
#include "hold_duty_leases.hpp"
#include "store_view_state.hpp"
#include "world.hpp"

#include <sstream>

namespace agateledge
{

namespace
{

constexpr char const *prefix = "agateledge_relay_";

void write_labelled(std::ostream &out, char const *name, char const *type,
                    char const *label, proxy_metrics::counter_map const &values)
{
    out << "# TYPE " << prefix << name << " " << type << "\n";
    for (auto const &[value, count] : values)
    {
        out << prefix << name << "{" << label << "=\"" << value << "\"} "
            << count << "\n";
    }
}

void write_counters(std::ostream &out, char const *name, char const *label,
                    proxy_metrics::counter_map const &values)
{
    write_labelled(out, name, "counter", label, values);
}

void write_value(std::ostream &out, char const *name, char const *type,
                 double value)
{
    out << "# TYPE " << prefix << name << " " << type << "\n"
        << prefix << name << " " << value << "\n";
}

void write_latency(std::ostream &out, char const *name,
                   latency_quantiles const &values)
{
    out << "# TYPE " << prefix << name << " summary\n";
    for (std::size_t i = 0; i < latency_quantiles::levels.size(); ++i)
    {
        out << prefix << name << "{quantile=\""
            << latency_quantiles::levels.at(i) << "\"} " << values.quantile(i)
            << "\n";
    }
    out << prefix << name << "_sum " << values.sum() << "\n"
        << prefix << name << "_count " << values.count() << "\n";
}

/// @return age of what is known of the table; -1 before its first full read
double table_age_s(world const &w, polled_table table)
{
    auto const index = static_cast<std::size_t>(table);
    return w.proxy.table_polls.at(index).fully_read
               ? to_seconds(w.now - w.proxy.store_view->known_at.at(index))
               : -1;
}

/// Writes the number of engines of each group, at the daemon that orders them.
void write_engines(std::ostream &out, char const *name,
                   capacity_state const &state, auto const &engines)
{
    out << "# TYPE " << prefix << name << " gauge\n";
    for (auto const &[id, group] : state.groups)
    {
        out << prefix << name << "{service=\"" << id.service
            << "\",data_centre=\"" << id.data_centre << "\",reclaimable=\""
            << (id.reclaimable ? "true" : "false") << "\"} " << engines(group)
            << "\n";
    }
}

void write_capacity(std::ostream &out, capacity_state const &state)
{
    write_counters(out, "capacity_orders_total", "result", state.results);
    if (!state.is_holder)
    {
        return;
    }
    write_engines(out, "capacity_engines_serving", state,
                  [](capacity_group const &group)
                  { return group.serving.total(); });
    write_engines(out, "capacity_engines_ordered", state,
                  [](capacity_group const &group)
                  { return group.ordered.value_or(group.serving.total()); });
    out << "# TYPE " << prefix << "capacity_engines_needed gauge\n";
    for (auto const &[name, service] : state.services)
    {
        out << prefix << "capacity_engines_needed{service=\"" << name << "\"} "
            << service.needed << "\n";
    }
}

/// Writes the metrics of a daemon that has duties.
void write_duties(std::ostream &out, world const &w)
{
    if (!w.proxy.duties)
    {
        return;
    }
    auto const &duties = *w.proxy.duties;
    proxy_metrics::counter_map held;
    proxy_metrics::counter_map fencing;
    for (auto const &lease : duties.leases)
    {
        auto const name = std::string(name_of(lease.item));
        held[name] = authority_over(w, lease.item) ? 1 : 0;
        fencing[name] = lease.row.fencing.value();
    }
    write_labelled(out, "duty_authority", "gauge", "duty", held);
    write_labelled(out, "duty_fencing_token", "gauge", "duty", fencing);
    write_counters(out, "usage_snapshots_total", "result", duties.snapshots);
    write_counters(out, "usage_reports_total", "result", duties.reports);
}

} // namespace

std::string proxy_metrics_text(world const &w)
{
    auto const &proxy = w.proxy;
    auto const &metrics = proxy.metrics;
    std::ostringstream out;
    write_counters(out, "requests_total", "outcome", metrics.requests);
    write_counters(out, "refusals_total", "code", metrics.refusals);
    write_counters(out, "calls_total", "result", metrics.calls);
    write_counters(out, "cache_reads_total", "result", metrics.cache_reads);
    write_counters(out, "store_calls_total", "result", metrics.store_calls);
    write_counters(out, "load_reports_total", "result", metrics.load_reports);
    write_value(out, "leave_announcements_total", "counter",
                static_cast<double>(metrics.leave_announcements));
    write_value(out, "directory_waits_total", "counter",
                static_cast<double>(metrics.directory_waits));
    write_value(out, "overdue_placements_total", "counter",
                static_cast<double>(metrics.overdue_placements));
    write_value(out, "instance_pauses_total", "counter",
                static_cast<double>(metrics.instance_pauses));
    write_value(out, "request_limits_total", "counter",
                static_cast<double>(metrics.request_limits));
    write_value(out, "limited_instances", "gauge",
                static_cast<double>(proxy.request_limits.size()));
    write_counters(out, "part_evidence_reports_total", "result",
                   metrics.part_evidence_reports);
    write_counters(out, "connection_failures_total", "cause",
                   metrics.connection_failures);
    write_value(out, "held_prompts_total", "counter",
                static_cast<double>(metrics.held_prompts));
    write_value(out, "suspected_prompt_parts", "gauge",
                static_cast<double>(
                    w.proxy.part_evidence.table.suspected_parts(w.now).size()));
    write_value(out, "retries_total", "counter",
                static_cast<double>(metrics.retries));
    write_value(out, "retries_denied_total", "counter",
                static_cast<double>(metrics.retries_denied));
    write_value(out, "truncated_replies_total", "counter",
                static_cast<double>(metrics.truncated_replies));
    write_value(out, "malformed_replies_total", "counter",
                static_cast<double>(metrics.malformed_replies));
    write_value(out, "dropped_replies_total", "counter",
                static_cast<double>(metrics.dropped_replies));
    write_value(out, "resumed_streams_total", "counter",
                static_cast<double>(metrics.resumed_streams));
    write_value(out, "prefill_handovers_total", "counter",
                static_cast<double>(metrics.prefill_handovers));
    write_value(out, "prompt_tokens_cached_total", "counter",
                static_cast<double>(metrics.tokens_cached));
    write_value(out, "prompt_tokens_read_total", "counter",
                static_cast<double>(metrics.tokens_read));
    write_value(out, "open_requests", "gauge",
                static_cast<double>(proxy.requests.size()));
    write_value(out, "instances", "gauge",
                static_cast<double>(proxy.instances.all().size()));
    write_value(out, "daemons", "gauge",
                static_cast<double>(proxy.daemons.size()));
    write_value(out, "store_reachable", "gauge", proxy.store.reachable ? 1 : 0);
    write_value(out, "store_era", "gauge",
                static_cast<double>(proxy.store.era));
    if (auto const &view = proxy.store_view)
    {
        write_counters(out, "store_view_reports_total", "result",
                       view->report_counts);
        write_counters(out, "store_reads_total", "purpose", view->read_counts);
        write_counters(out, "store_older_answers_total", "table",
                       view->older_answers);
        write_value(out, "older_rows_total", "counter",
                    static_cast<double>(view->older_rows));
        write_counters(out, "neighbour_configurations_total", "result",
                       view->fetch_counts);
        write_value(out, "store_reader", "gauge", view->is_reader ? 1 : 0);
    }
    write_value(out, "configuration_version", "gauge",
                static_cast<double>(proxy.routing->version));
    write_value(out, "configuration_age_seconds", "gauge",
                table_age_s(w, polled_table::configuration));
    write_value(out, "directory_age_seconds", "gauge",
                table_age_s(w, polled_table::instances));
    if (proxy.capacity)
    {
        write_capacity(out, *proxy.capacity);
    }
    write_account_metrics(out, w, prefix);
    write_engine_metrics(out, w, prefix);
    write_duties(out, w);
    write_latency(out, "queued_seconds", metrics.queued);
    write_latency(out, "placed_to_sent_seconds", metrics.placed_to_sent);
    write_latency(out, "sent_directory_age_seconds",
                  metrics.sent_directory_age);
    write_latency(out, "first_event_seconds", metrics.first_event);
    write_latency(out, "late_by_seconds", metrics.late_by);
    return out.str();
}

} // namespace agateledge
