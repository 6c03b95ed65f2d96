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
    engine.report = report;
    engine.report_measured_at = measured_at;
}

} // namespace

void track_engines(world &w)
{
    std::ranges::for_each(w.in.load_reports, [&w](load_report const &report)
                          { store_report(w, report); });
}

} // namespace agateledge
