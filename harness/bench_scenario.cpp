#include "bench_scenario.hpp"

#include <algorithm>
#include <stdexcept>

namespace agateledge
{

namespace
{

constexpr double normal_load = 0.85;
constexpr double low_share = 0.10;
constexpr double steady_share = 0.35;
constexpr double high_share = 0.60;

std::function<double(double)> constant(double value)
{
    return [value](double) { return value; };
}

/// Low share until 60 s, rising until 150 s, high share until 240 s, falling
/// until 300 s, then the low share.
double swing_share(double second)
{
    auto const up = std::clamp((second - 60) / 90, 0.0, 1.0);
    auto const down = std::clamp((second - 240) / 60, 0.0, 1.0);
    return low_share + (high_share - low_share) * (up - down);
}

double burst_load(double second)
{
    return second >= 40 && second < 70 ? 1.3 : 0.6;
}

bench_scenario steady(std::string const &name, double load)
{
    bench_scenario out;
    out.name = name;
    out.load = constant(load);
    out.prompt_share = constant(steady_share);
    return out;
}

bench_scenario make_swing()
{
    auto out = steady("swing", normal_load);
    out.length = seconds(360);
    out.prompt_share = swing_share;
    return out;
}

bench_scenario make_burst(std::string const &name, scenario_fault fault)
{
    auto out = steady(name, normal_load);
    out.load = burst_load;
    out.fault = fault;
    return out;
}

bench_scenario make_fault(std::string const &name, scenario_fault fault)
{
    auto out = steady(name, 0.7);
    out.fault = fault;
    return out;
}

bench_scenario make_lag(std::string const &name, duration lag)
{
    auto out = steady(name, normal_load);
    out.report_lag = lag;
    return out;
}

std::vector<bench_scenario> all_scenarios()
{
    return {make_swing(),
            steady("steady", normal_load),
            steady("capacity", 1.0),
            steady("double_capacity", 2.0),
            make_burst("burst", scenario_fault::none),
            make_burst("withdrawn", scenario_fault::engine_withdrawn),
            make_fault("cut_off", scenario_fault::data_centre_cut),
            make_fault("grey", scenario_fault::engine_grey),
            make_lag("lag_0.1", milliseconds(100)),
            make_lag("lag_1", seconds(1)),
            make_lag("lag_5", seconds(5))};
}

} // namespace

std::vector<std::string> scenario_names()
{
    std::vector<std::string> names;
    std::ranges::transform(all_scenarios(), std::back_inserter(names),
                           &bench_scenario::name);
    return names;
}

bench_scenario make_scenario(std::string const &name)
{
    auto const all = all_scenarios();
    auto const found = std::ranges::find(all, name, &bench_scenario::name);
    if (found == all.end())
    {
        throw std::invalid_argument("no scenario \"" + name + "\"");
    }
    return *found;
}

} // namespace agateledge
