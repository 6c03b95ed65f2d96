// Measures in virtual time how long it takes until another daemon acquires the
// lease of a data centre whose holder stops, and until a new revision is active
// on all daemons.
#include "json_text.hpp"
#include "propose_configuration.hpp"
#include "renew_leases.hpp"
#include "virtual_deployment.hpp"

#include <algorithm>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr duration warm_up_time = seconds(5);
constexpr duration max_wait = seconds(60);
constexpr duration sample_interval = milliseconds(10);

std::vector<std::string> data_centres_of(int data_centres, int daemons_each)
{
    auto const count = data_centres * daemons_each;
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        names.push_back("dc-" + std::to_string(i % data_centres));
    }
    return names;
}

/// @return time until `done` returns true, or nothing after `max_wait`
template <class Done>
std::optional<duration> time_until(virtual_deployment &deployment, Done done)
{
    auto const begin = deployment.now();
    while (deployment.now() - begin < max_wait)
    {
        if (done())
        {
            return deployment.now() - begin;
        }
        deployment.run_until(deployment.now() + sample_interval);
    }
    return std::nullopt;
}

bool holds_lease(virtual_daemon const &daemon)
{
    auto const *lease = daemon.state->leases.find("dc-0");
    return !daemon.paused && lease != nullptr &&
           daemon.state->identity.data_centre == "dc-0" &&
           authority_is_valid(*lease, daemon.state->now);
}

std::optional<duration> measure_takeover(virtual_deployment &deployment)
{
    auto &daemons = deployment.daemons();
    auto const holder = std::ranges::find_if(daemons, holds_lease);
    if (holder == daemons.end())
    {
        return std::nullopt;
    }
    holder->paused = true;
    auto const time =
        time_until(deployment, [&daemons]
                   { return std::ranges::any_of(daemons, holds_lease); });
    holder->paused = false;
    return time;
}

std::optional<duration> measure_revision(virtual_deployment &deployment)
{
    auto &daemons = deployment.daemons();
    auto &proposer = *daemons[deployment.random().below(daemons.size())].state;
    auto next = proposer.config;
    auto const revision = revision_number(next.revision.value() + 1);
    next.summary = "bench";
    propose_configuration(proposer, next, operator_call_number(1));
    return time_until(
        deployment,
        [&]
        {
            return std::ranges::all_of(
                daemons, [revision](virtual_daemon const &daemon)
                { return daemon.state->config.revision >= revision; });
        });
}

Json::Value summary(std::vector<duration> times)
{
    std::ranges::sort(times);
    Json::Value out;
    out["runs"] = Json::UInt64(times.size());
    if (!times.empty())
    {
        out["p50"] = to_seconds(times[times.size() / 2]);
        out["max"] = to_seconds(times.back());
    }
    return out;
}

Json::Value measure(int data_centres, int daemons_each, int seed_count)
{
    std::vector<duration> takeovers;
    std::vector<duration> revisions;
    for (int seed = 1; seed <= seed_count; ++seed)
    {
        configuration config;
        config.revision = revision_number(1);
        virtual_deployment deployment(
            config, data_centres_of(data_centres, daemons_each),
            static_cast<std::uint64_t>(seed));
        auto const random_delay = milliseconds(deployment.random().below(1000));
        deployment.run_until(instant(warm_up_time + random_delay));
        if (auto const time = measure_revision(deployment))
        {
            revisions.push_back(*time);
        }
        if (auto const time = measure_takeover(deployment))
        {
            takeovers.push_back(*time);
        }
    }
    Json::Value out;
    out["daemons"] = data_centres * daemons_each;
    out["seeds"] = seed_count;
    out["takeover_s"] = summary(takeovers);
    out["revision_everywhere_s"] = summary(revisions);
    return out;
}

} // namespace

int main()
{
    constexpr int seed_count = 40;
    constexpr int large_seed_count = 3;
    Json::Value out(Json::arrayValue);
    out.append(measure(4, 5, seed_count));
    out.append(measure(11, 35, large_seed_count));
    std::cout << json_to_text(out) << '\n';
    return 0;
}
