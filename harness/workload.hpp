#ifndef AGATELEDGE_WORKLOAD_HPP
#define AGATELEDGE_WORKLOAD_HPP

#include "configuration.hpp"
#include "inbox.hpp"
#include "random_source.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Median lengths of the requests of a class in one of its two forms, in
/// tokens.
struct length_profile
{
    double prompt = 0;
    double output = 0;
};

/// How the requests of one model class are generated.
struct class_workload
{
    std::string class_name;
    /// Share of the model requests that are of this class.
    double share = 0;
    /// Form with a short prompt and a long answer.
    length_profile output_heavy;
    /// Form with a long prompt and a short answer.
    length_profile prompt_heavy;
};

/// Simulated deployment with its load, after section 1.1 of the design page.
struct workload
{
    configuration config;
    /// Data centre of each daemon.
    std::vector<std::string> daemons;
    std::vector<class_workload> classes;
    /// Load that the oracle policy sustains at the steady mix, in nominal
    /// engine seconds per second; see docs/measurements.md.
    double capacity = 0;
    duration between_data_centres{};
};

/// Request with the length of its answer, which only the engine knows.
struct generated_request
{
    request_arrival arrival;
    int output_tokens = 0;
};

/// @param name "kerbrat" or "bellhaven"
/// @param engines engines of the model service
/// @throws std::invalid_argument for another name
workload make_workload(std::string const &name, int engines);

/// Gives `prefill` engines the role prefill, `mixed` the role mixed and the
/// rest the role decode, spread over the data centres.
void assign_roles(configuration &config, int prefill, int mixed);

/// Generates the model requests of a workload.
class request_source
{
public:
    request_source(workload const &load, std::uint64_t seed);

    /// @param prompt_share target share of prefill in the nominal work
    generated_request next(double prompt_share);

    /// @return requests per second that produce `work` nominal engine seconds
    ///         per second at the given share of prefill
    double rate_for(double work, double prompt_share) const;

    random_source &random() { return random_; }

private:
    double prompt_heavy_probability(double prompt_share) const;
    double log_normal(double median, double sigma);
    void add_prefix(request_arrival &arrival);

    workload const &load_;
    random_source random_;
    std::uint64_t last_number_ = 0;
};

} // namespace agateledge

#endif
