#include "engine_metrics_text.hpp"

#include "engine_role_state.hpp"
#include "engine_speed.hpp"
#include "world.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace agateledge
{

namespace
{

/// What the metrics tell of one service.
struct service_engines
{
    std::vector<double> speeds;
    /// Prompt tokens that wait at each engine, divided by its speed.
    std::vector<double> backlogs;
};

/// @return the service's engines that prefill, by name of the service
std::map<std::string, service_engines> engines_by_service(world const &w)
{
    std::map<std::string, service_engines> out;
    for (auto const &[id, engine] : w.proxy.instances.all())
    {
        auto const &definition = engine.definition;
        if (definition.role != engine_role::prefill || !definition.accepts_work)
        {
            continue;
        }
        auto const speed = engine_speed(engine, w.now);
        auto const tokens = engine.unread_tokens + engine.peer_unread_tokens;
        auto &service = out[definition.service];
        service.speeds.push_back(speed);
        service.backlogs.push_back(static_cast<double>(tokens) / speed);
    }
    return out;
}

/// @return largest value divided by the mean; 1 when all are 0
double spread_of(std::vector<double> const &values)
{
    double sum = 0;
    std::ranges::for_each(values, [&sum](double value) { sum += value; });
    auto const mean = sum / static_cast<double>(values.size());
    return mean > 0 ? *std::ranges::max_element(values) / mean : 1;
}

void write_role_metrics(std::ostream &out, engine_role_state const &roles,
                        std::string const &prefix)
{
    out << "# TYPE " << prefix << "engine_role_orders_total counter\n";
    for (auto const &[status, count] : roles.orders)
    {
        out << prefix << "engine_role_orders_total{status=\"" << status
            << "\"} " << count << "\n";
    }
    out << "# TYPE " << prefix << "prefill_delay_seconds gauge\n";
    for (auto const &[service, estimate] : roles.delays)
    {
        out << prefix << "prefill_delay_seconds{service=\"" << service << "\"} "
            << to_seconds(estimate.delay) << "\n";
    }
}

} // namespace

void write_engine_metrics(std::ostream &out, world const &w,
                          std::string const &prefix)
{
    auto services = engines_by_service(w);
    out << "# TYPE " << prefix << "engine_speed gauge\n";
    for (auto &[name, service] : services)
    {
        std::ranges::sort(service.speeds);
        auto const last = service.speeds.size() - 1;
        for (auto const &[label, index] :
             {std::pair("0", std::size_t{0}), std::pair("0.5", last / 2),
              std::pair("1", last)})
        {
            out << prefix << "engine_speed{service=\"" << name
                << "\",quantile=\"" << label << "\"} " << service.speeds[index]
                << "\n";
        }
    }
    out << "# TYPE " << prefix << "prefill_backlog_spread gauge\n";
    for (auto const &[name, service] : services)
    {
        out << prefix << "prefill_backlog_spread{service=\"" << name << "\"} "
            << spread_of(service.backlogs) << "\n";
    }
    if (w.proxy.roles)
    {
        write_role_metrics(out, *w.proxy.roles, prefix);
    }
}

} // namespace agateledge
