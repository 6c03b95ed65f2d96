// Runs one policy on one scenario of the policy benchmark and prints its score
// as JSON.
#include "bench_oracle.hpp"
#include "bench_policies.hpp"
#include "json_text.hpp"

#include <boost/program_options.hpp>
#include <json/json.h>

#include <iostream>
#include <stdexcept>

namespace
{

using namespace agateledge;
namespace options = boost::program_options;

Json::Value percentiles(std::vector<double> const &values)
{
    Json::Value out;
    out["p50"] = percentile(values, 0.50);
    out["p95"] = percentile(values, 0.95);
    out["p99"] = percentile(values, 0.99);
    return out;
}

Json::Value to_json(class_score const &score)
{
    Json::Value out;
    out["requests"] = score.requests;
    out["goodput"] = score.requests > 0
                         ? static_cast<double>(score.in_time) / score.requests
                         : 0.0;
    out["late"] = score.late;
    out["refused"] = score.refused;
    out["unfinished"] = score.unfinished;
    out["first_token_s"] = percentiles(score.first_token);
    out["token_interval_s"] = percentiles(score.token_interval);
    out["finish_s"] = percentiles(score.finish);
    return out;
}

Json::Value to_json(bench_score const &score)
{
    Json::Value out;
    out["goodput"] = score.goodput;
    out["goodput_per_second"] = score.goodput_per_second;
    out["role_changes"] = score.role_changes;
    for (auto const &[name, item] : score.classes)
    {
        out["classes"][name] = to_json(item);
    }
    out["waste"]["answer_tokens_not_in_time"] =
        Json::Int64(score.wasted_tokens);
    out["waste"]["generated_tokens"] = Json::Int64(score.generated_tokens);
    out["waste"]["prefilled_tokens"] = Json::Int64(score.prefilled_tokens);
    out["waste"]["cached_prompt_tokens"] = Json::Int64(score.cached_tokens);
    out["waste"]["engine_seconds_away"] = score.seconds_away;
    for (auto const &[name, value] : score.learned)
    {
        out["learned"][name] = value;
    }
    for (auto const &[name, goodput] : score.plans)
    {
        out["plans"][name] = goodput;
    }
    return out;
}

void print_text(bench_score const &score)
{
    std::cout << "goodput " << score.goodput << ", role changes "
              << score.role_changes << "\n";
    for (auto const &[name, item] : score.classes)
    {
        std::cout << name << ": " << item.requests << " requests, "
                  << item.in_time << " in time, " << item.late << " late, "
                  << item.refused << " refused, " << item.unfinished
                  << " unfinished; first token p50 "
                  << percentile(item.first_token, 0.50) << " p99 "
                  << percentile(item.first_token, 0.99) << " s; interval p50 "
                  << percentile(item.token_interval, 0.50) << " p99 "
                  << percentile(item.token_interval, 0.99) << " s; finish p99 "
                  << percentile(item.finish, 0.99) << " s\n";
    }
}

void print_names(std::vector<std::string> const &names)
{
    for (auto const &name : names)
    {
        std::cout << name << "\n";
    }
}

bench_score measure(options::variables_map const &given)
{
    auto load = make_workload(given["deployment"].as<std::string>(),
                              given["engines"].as<int>());
    if (given.count("prefill") > 0 || given.count("mixed") > 0)
    {
        auto const count = [&given](char const *name)
        { return given.count(name) > 0 ? given[name].as<int>() : 0; };
        assign_roles(load.config, count("prefill"), count("mixed"));
    }
    load.capacity *= given["load"].as<double>();
    auto scenario = make_scenario(given["scenario"].as<std::string>());
    if (given.count("seconds") > 0)
    {
        scenario.length = seconds(given["seconds"].as<int>());
    }
    auto const seed = given["seed"].as<std::uint64_t>();
    auto const policy = given["policy"].as<std::string>();
    if (policy == "oracle")
    {
        return run_oracle(load, scenario, seed);
    }
    bench_run run(load, scenario, seed);
    install_policy(run, policy);
    return run.run();
}

options::options_description describe()
{
    options::options_description all("policy_bench");
    auto add = all.add_options();
    add("help", "print the options");
    add("deployment", options::value<std::string>()->default_value("kerbrat"),
        "kerbrat or bellhaven");
    add("policy", options::value<std::string>()->default_value("product"),
        "name of the policy, or list");
    add("scenario", options::value<std::string>()->default_value("swing"),
        "name of the scenario, or list");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed");
    add("format", options::value<std::string>()->default_value("json"),
        "json or text");
    add("engines", options::value<int>()->default_value(20),
        "number of engines");
    add("prefill", options::value<int>(), "engines with the role prefill");
    add("mixed", options::value<int>(), "engines with the role mixed");
    add("load", options::value<double>()->default_value(1.0),
        "factor by which the load is multiplied");
    add("seconds", options::value<int>(),
        "length in seconds; replaces that of the scenario");
    return all;
}

int run_bench(options::variables_map const &given)
{
    if (given["policy"].as<std::string>() == "list")
    {
        print_names(policy_names());
        return 0;
    }
    if (given["scenario"].as<std::string>() == "list")
    {
        print_names(scenario_names());
        return 0;
    }
    auto const score = measure(given);
    if (given["format"].as<std::string>() == "text")
    {
        print_text(score);
    }
    std::cout << json_to_text(to_json(score)) << "\n";
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try
    {
        auto const all = describe();
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, all), given);
        options::notify(given);
        if (given.count("help") > 0)
        {
            std::cout << all;
            return 0;
        }
        return run_bench(given);
    }
    catch (std::exception const &error)
    {
        std::cerr << "policy_bench: " << error.what() << "\n";
        return 2;
    }
}
