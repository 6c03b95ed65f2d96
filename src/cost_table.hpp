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
    /// Weighted means of n, the step time, n * n and n * step time. Their
    /// initial values are those of two samples on the line above, at n = 8 and
    /// n = 32.
    double mean_n = 20;
    double mean_step = 0.023;
    double mean_nn = 544;
    double mean_n_step = 0.5176;
    /// Prompt tokens computed per second, while the engine's other work runs.
    double prefill_rate = 6000;
    /// Sequences that an engine runs at the same time.
    double batch_limit = 48;
    /// Mean load that peers put on an engine.
    double mean_peer_requests = 0;
    double mean_peer_prefill_tokens = 0;
    int step_samples = 0;
    int prefill_samples = 0;
};

/// This daemon's work on an engine at one time. It is subtracted from a load
/// report to obtain the peers' work.
struct local_load
{
    instant at{};
    int requests = 0;
    int prefill_tokens = 0;
    std::int64_t kv_tokens = 0;
};

/// Costs learned from one engine.
struct engine_costs
{
    /// Ratio of observed to predicted time; 1 for an average engine of its
    /// role.
    double slowness = 1.0;
    int samples = 0;
    instant last_sample_at{};
    std::deque<local_load> history;
    /// Share of the prompt tokens that the prefix cache held.
    double prefix_hit_ratio = 0;
};

/// Learned output length of one class.
struct output_estimate
{
    double mean_tokens = 0;
    /// Mean absolute error of the estimate, in tokens.
    double mean_error = 0;
    int samples = 0;
};

/// Learned speeds of engines and output lengths of classes.
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

    /// @return the expected output of a class in tokens; `fallback` without
    ///         samples
    double expected_output(std::string const &class_name,
                           double fallback) const;

private:
    std::unordered_map<std::string, std::array<role_costs, 3>> roles_;
    std::vector<engine_costs> engines_;
    std::unordered_map<std::string, output_estimate> outputs_;
};

} // namespace agateledge

#endif
