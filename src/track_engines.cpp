#include "track_engines.hpp"

#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

void store_report(world &w, load_report const &report)
{
    auto const index = w.engines.find(report.engine);
    if (!index)
    {
        return;
    }
    auto &engine = w.engines.at(*index);
    auto const measured_at = w.now - report.age;
    if (engine.report && measured_at < engine.report_measured_at)
    {
        return;
    }
    if (!engine.report || engine.report->role != report.role ||
        engine.report->ready != report.ready)
    {
        w.candidates.invalidate();
    }
    engine.report = report;
    engine.report_measured_at = measured_at;
}

} // namespace

void track_engines(world &w)
{
    std::ranges::for_each(w.in.load_reports, [&w](load_report const &report)
                          { store_report(w, report); });
    for (auto const &event : w.in.cache_events)
    {
        if (auto const index = w.engines.find(event.engine))
        {
            w.prefixes.apply(*index, event);
        }
    }
    if (w.candidates.rebuild_due(w.now, w.config.revision))
    {
        w.candidates.rebuild(w.engines, w.now, w.config.revision);
    }
}

} // namespace agateledge
