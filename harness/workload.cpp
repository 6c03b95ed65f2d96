#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <stdexcept>

namespace agateledge
{

namespace
{

/// Nominal cost of a prompt token and of an output token, in engine seconds.
/// They define the mix and the load of a scenario; the daemons don't use them.
constexpr double prompt_token_cost = 1.0 / 8500;
constexpr double output_token_cost = 1.0 / 1700;

constexpr double prompt_sigma = 0.4;
constexpr double output_sigma = 0.5;

/// Prompts about the same document share a prefix. Documents are chosen by a
/// Pareto distribution.
constexpr int documents = 60;
constexpr double document_exponent = 0.9;
constexpr double document_part = 0.4;
constexpr int block_tokens = 128;

struct nominal_work
{
    double prompt = 0;
    double output = 0;
};

nominal_work mean_work(std::vector<class_workload> const &classes,
                       length_profile class_workload::*form)
{
    // The mean of a log-normal distribution exceeds its median by this factor.
    double const prompt_mean = std::exp(prompt_sigma * prompt_sigma / 2);
    double const output_mean = std::exp(output_sigma * output_sigma / 2);
    nominal_work work;
    for (auto const &item : classes)
    {
        auto const &lengths = item.*form;
        work.prompt +=
            item.share * lengths.prompt * prompt_mean * prompt_token_cost;
        work.output +=
            item.share * lengths.output * output_mean * output_token_cost;
    }
    return work;
}

request_class model_class(std::string name, int priority, duration first_token,
                          duration finish, int expected_output)
{
    request_class kind;
    kind.name = std::move(name);
    kind.service = "assistant";
    kind.priority = priority;
    kind.first_token_deadline = first_token;
    kind.token_interval_deadline = milliseconds(56);
    kind.finish_deadline = finish;
    kind.expected_output_tokens = expected_output;
    return kind;
}

request_class long_class(std::string name)
{
    auto kind = model_class(std::move(name), 2, {}, seconds(90), 500);
    kind.token_interval_deadline = {};
    kind.may_wait = true;
    kind.weight = 2;
    return kind;
}

request_class plain_class(std::string const &name)
{
    request_class kind;
    kind.name = name;
    kind.service = "desk";
    kind.finish_deadline = seconds(5);
    return kind;
}

void add_engines(configuration &config,
                 std::vector<std::string> const &data_centres, int engines,
                 int endpoints)
{
    for (int i = 0; i < engines; ++i)
    {
        engine_definition engine;
        engine.name = "engine-" + std::to_string(i);
        engine.address = engine.name;
        engine.data_centre =
            data_centres.at(static_cast<std::size_t>(i) % data_centres.size());
        engine.service = "assistant";
        engine.model = "manual";
        config.engines.push_back(std::move(engine));
    }
    for (int i = 0; i < endpoints; ++i)
    {
        auto const name = "desk-" + std::to_string(i);
        config.endpoints.push_back(
            {name, name,
             data_centres.at(static_cast<std::size_t>(i) % data_centres.size()),
             "desk", false});
    }
}

workload make_kerbrat(int engines)
{
    workload out;
    std::vector<std::string> const places = {"rennes-a", "rennes-b", "brest",
                                             "vannes"};
    out.daemons = places;
    out.daemons.emplace_back("rennes-a");
    out.between_data_centres = microseconds(1500);
    out.config.classes = {
        model_class("chapter-lookup", 0, milliseconds(850), seconds(20), 200),
        model_class("form-hint", 1, milliseconds(600), seconds(6), 60),
        long_class("full-manual"), plain_class("booking"),
        plain_class("booking-status")};
    out.classes = {{"chapter-lookup", 0.35, {120, 300}, {3000, 120}},
                   {"form-hint", 0.50, {50, 80}, {500, 30}},
                   {"full-manual", 0.15, {400, 1000}, {9000, 350}}};
    add_engines(out.config, places, engines, 4);
    out.config.policy.role_change_weight = 60.0;
    out.config.policy.role_changes_per_hour = 60;
    return out;
}

workload make_bellhaven(int engines)
{
    workload out;
    std::vector<std::string> const places = {"mobile-a", "mobile-b",
                                             "mobile-c"};
    out.daemons = {"mobile-a", "mobile-b", "mobile-c", "mobile-a"};
    out.between_data_centres = microseconds(500);
    out.config.classes = {
        model_class("farrier-call", 0, milliseconds(850), seconds(12), 120),
        model_class("arrival-notice", 1, milliseconds(850), seconds(8), 80),
        model_class("round-draft", 1, seconds(2), seconds(60), 500),
        long_class("horse-history"),
        plain_class("booking"),
        plain_class("booking-status")};
    out.classes = {{"farrier-call", 0.30, {80, 160}, {1500, 80}},
                   {"arrival-notice", 0.35, {60, 110}, {400, 60}},
                   {"round-draft", 0.20, {300, 700}, {3000, 350}},
                   {"horse-history", 0.15, {300, 600}, {10000, 250}}};
    add_engines(out.config, places, engines, 3);
    out.config.policy.role_change_weight = 300.0;
    out.config.policy.role_changes_per_hour = 20;
    return out;
}

} // namespace

void assign_roles(configuration &config, int prefill, int mixed)
{
    for (auto &engine : config.engines)
    {
        engine.role = engine_role::decode;
        if (prefill > 0)
        {
            engine.role = engine_role::prefill;
            --prefill;
        }
        else if (mixed > 0)
        {
            engine.role = engine_role::mixed;
            --mixed;
        }
    }
}

workload make_workload(std::string const &name, int engines)
{
    if (name != "kerbrat" && name != "bellhaven")
    {
        throw std::invalid_argument("no deployment \"" + name + "\"");
    }
    auto out =
        name == "kerbrat" ? make_kerbrat(engines) : make_bellhaven(engines);
    out.config.revision = revision_number(1);
    out.config.services = {{"assistant", false, "manual"}, {"desk", true, ""}};
    // Suits the mean mix of the "swing" scenario: the best simple baseline has
    // its highest goodput there with this share.
    constexpr double prefill_share = 0.4;
    assign_roles(out.config, static_cast<int>(prefill_share * engines), 0);
    // Load per engine that the oracle sustains, see docs/measurements.md.
    constexpr double capacity_per_engine = 1.1;
    out.capacity = capacity_per_engine * engines;
    return out;
}

request_source::request_source(workload const &load, std::uint64_t seed)
    : load_(load), random_(seed)
{
}

double request_source::prompt_heavy_probability(double prompt_share) const
{
    auto const output_heavy =
        mean_work(load_.classes, &class_workload::output_heavy);
    auto const prompt_heavy =
        mean_work(load_.classes, &class_workload::prompt_heavy);
    // Solves prompt(p) = share * total(p) for the probability p; both sides are
    // linear in p.
    auto const output_heavy_excess =
        output_heavy.prompt -
        prompt_share * (output_heavy.prompt + output_heavy.output);
    auto const prompt_heavy_excess =
        prompt_heavy.prompt -
        prompt_share * (prompt_heavy.prompt + prompt_heavy.output);
    return std::clamp(output_heavy_excess /
                          (output_heavy_excess - prompt_heavy_excess),
                      0.0, 1.0);
}

double request_source::rate_for(double work, double prompt_share) const
{
    auto const output_heavy =
        mean_work(load_.classes, &class_workload::output_heavy);
    auto const prompt_heavy =
        mean_work(load_.classes, &class_workload::prompt_heavy);
    auto const probability = prompt_heavy_probability(prompt_share);
    return work /
           ((1 - probability) * (output_heavy.prompt + output_heavy.output) +
            probability * (prompt_heavy.prompt + prompt_heavy.output));
}

double request_source::log_normal(double median, double sigma)
{
    // Box-Muller transform; std::lognormal_distribution differs between
    // standard libraries.
    double const radius = std::sqrt(-2 * std::log(1 - random_.uniform()));
    double const angle = 2 * std::numbers::pi * random_.uniform();
    return median * std::exp(sigma * radius * std::cos(angle));
}

void request_source::add_prefix(request_arrival &arrival)
{
    // Inverse distribution function of a Pareto distribution truncated at
    // `documents`.
    double const exponent = 1 - document_exponent;
    double const span = std::pow(documents + 1, exponent) - 1;
    auto const document = static_cast<std::uint64_t>(
        std::pow(1 + random_.uniform() * span, 1 / exponent));
    auto const blocks = arrival.prompt_tokens / block_tokens;
    auto const shared = static_cast<int>(blocks * document_part);
    arrival.prefix_block_tokens = block_tokens;
    for (int i = 0; i < blocks; ++i)
    {
        random_source shared_hash(document * 1000003 +
                                  static_cast<std::uint64_t>(i));
        arrival.prefix_hashes.push_back(i < shared ? shared_hash() : random_());
    }
}

generated_request request_source::next(double prompt_share)
{
    auto point = random_.uniform();
    auto const *chosen = &load_.classes.back();
    for (auto const &item : load_.classes)
    {
        if (point < item.share)
        {
            chosen = &item;
            break;
        }
        point -= item.share;
    }
    bool const is_prompt_heavy =
        random_.uniform() < prompt_heavy_probability(prompt_share);
    auto const &lengths =
        is_prompt_heavy ? chosen->prompt_heavy : chosen->output_heavy;
    generated_request out;
    out.arrival.request = request_number(++last_number_);
    out.arrival.caller = "caller-" + std::to_string(random_.below(50));
    out.arrival.class_name = chosen->class_name;
    out.arrival.model = "manual";
    out.arrival.prompt_tokens = static_cast<int>(
        std::clamp(log_normal(lengths.prompt, prompt_sigma), 8.0, 40000.0));
    out.output_tokens = static_cast<int>(
        std::clamp(log_normal(lengths.output, output_sigma), 2.0, 4000.0));
    out.arrival.max_output_tokens = 4000;
    out.arrival.seed = random_();
    add_prefix(out.arrival);
    return out;
}

} // namespace agateledge
