// Runs one randomised run with a given seed. On a violation, shrinks the run
// and prints its faults; exits with 1.
#include "json_text.hpp"
#include "randomised_run.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>

namespace
{

using namespace agateledge;

Json::Value summary(run_result const &result)
{
    Json::Value out;
    out["steps"] = Json::UInt64(result.steps);
    out["requests"] = Json::UInt64(result.requests);
    out["answered"] = Json::UInt64(result.answered);
    out["faults"] = Json::Value(Json::objectValue);
    for (auto const &fault : result.faults)
    {
        auto &count = out["faults"][fault.kind];
        count = count.asUInt64() + 1;
    }
    return out;
}

void print_violation(run_options const &options, run_result const &result)
{
    std::cout << "violation: " << result.violation << "\nseed " << options.seed
              << ", deployment " << options.deployment << ", step "
              << result.steps << "\n";
    auto const smaller = shrink_run(options);
    auto const shrunk = run_randomised(smaller);
    std::cout << "shrunk: step " << shrunk.steps << ": " << shrunk.violation
              << "\n";
    for (auto const &fault : shrunk.faults)
    {
        std::cout << to_seconds(fault.when.time_since_epoch()) << " s "
                  << fault.kind << " " << fault.target << "\n";
    }
}

int run(run_options const &options)
{
    auto const result = run_randomised(options);
    if (!result.violation.empty())
    {
        print_violation(options, result);
    }
    std::cout << json_to_text(summary(result)) << "\n";
    return result.violation.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    run_options options;
    po::options_description described("long_run");
    described.add_options()("help", "print this text")(
        "seed", po::value(&options.seed)->default_value(1), "seed of the run")(
        "steps", po::value(&options.steps)->default_value(100000),
        "planned actions to run")(
        "deployment", po::value(&options.deployment)->default_value("kerbrat"),
        "kerbrat or bellhaven");
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, described), values);
        po::notify(values);
        if (values.contains("help"))
        {
            std::cout << described;
            return 0;
        }
        return run(options);
    }
    catch (std::exception const &failure)
    {
        std::cerr << "long_run: " << failure.what() << "\n" << described;
        return 2;
    }
}
