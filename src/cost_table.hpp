#ifndef AGATELEDGE_COST_TABLE_HPP
#define AGATELEDGE_COST_TABLE_HPP

#include "engine_role.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <array>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Speeds learned over all engines of one service and role.
struct role_costs
{
    /// Step time of a batch of n sequences: base + slope * n, in seconds.
    double step_base = 0.015;
    double step_slope = 0.0004;
    /// Weighted means of n, of the step time, of n squared and of their
    /// product; they begin with the line above at n = 8 and n = 32.
    double mean_n = 20;
    double mean_step = 0.023;
    double mean_nn = 544;
    double mean_n_step = 0.5176;
    /// Prompt tokens a second, with the work that runs beside them.
    double prefill_rate = 6000;
    /// Sequences that an engine runs at the same time.
    double batch_limit = 48;
    /// Load that other daemons put on an engine, in the mean.
    double others_requests = 0;
    double others_prefill_tokens = 0;
    int step_samples = 0;
    int prefill_samples = 0;
};

/// Own work on an engine at one time, to tell it from the others' in a report.
struct own_load
{
    instant at{};
    int requests = 0;
    int prefill_tokens = 0;
    std::int64_t kv_tokens = 0;
};

/// What was learned of one engine.
struct engine_costs
{
    /// Observed over predicted time; 1 for an engine like the others.
    double slowness = 1.0;
    int samples = 0;
    instant last_sample_at{};
    std::deque<own_load> history;
    /// Share of the prompt tokens that the prefix cache held.
    double hit_share = 0;
};

/// Output lengths of one class.
struct output_estimate
{
    double mean_tokens = 0;
    /// Mean absolute error of the estimate, in tokens.
    double mean_error = 0;
    int samples = 0;
};

/// Observed speeds of engines and output lengths of classes.
class cost_table
{
public:
    role_costs &role(std::string const &service, engine_role role);
    role_costs const &role(std::string const &service, engine_role role) const;

    engine_costs &engine(engine_index index);
    engine_costs const &engine(engine_index index) const;

    output_estimate &output(std::string const &class_name)
    {
        return outputs_[class_name];
    }

    /// @return the tokens to expect of a class, `fallback` without samples
    double expected_output(std::string const &class_name,
                           double fallback) const;

private:
    std::unordered_map<std::string, std::array<role_costs, 3>> roles_;
    std::vector<engine_costs> engines_;
    std::unordered_map<std::string, output_estimate> outputs_;
};

} // namespace agateledge

#endif
