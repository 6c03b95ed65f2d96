#ifndef AGATELEDGE_BENCH_SCORE_HPP
#define AGATELEDGE_BENCH_SCORE_HPP

#include "configuration.hpp"
#include "outbox.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Request counts of one class, and latencies of its answered requests in
/// seconds.
struct class_score
{
    int requests = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int unfinished = 0;
    std::vector<double> first_token;
    std::vector<double> token_interval;
    std::vector<double> finish;
};

/// Result of one bench run.
struct bench_score
{
    /// Weighted share of the requests that were answered completely and within
    /// their deadlines.
    double goodput = 0;
    /// Weighted number of such requests per second, for comparing runs with
    /// different loads.
    double goodput_per_second = 0;
    std::map<std::string, class_score> classes;
    int role_changes = 0;
    /// Cost estimates of the first daemon at the end of the run, by name.
    std::map<std::string, double> learned;
    /// Goodput of each role plan that the oracle tried, by name.
    std::map<std::string, double> plans;
    /// Total time that engines spent draining and changing roles.
    double seconds_away = 0;
    std::int64_t prefilled_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t generated_tokens = 0;
    /// Answer tokens of requests that were not answered in time.
    std::int64_t wasted_tokens = 0;
};

/// Computes the score of a run from its requests and replies.
class score_recorder
{
public:
    explicit score_recorder(configuration const &config);

    /// Registers a request to be scored.
    void expect(request_number request, std::string const &class_name,
                instant now);

    /// Records a reply; replies to unregistered requests are ignored.
    void record(caller_reply const &reply, instant now);

    /// @return requests that have not ended
    std::size_t open() const { return open_.size(); }

    /// @param seconds length of the scored part of the run
    bench_score total(double seconds) const;

private:
    struct progress
    {
        request_class const *kind = nullptr;
        instant arrived_at{};
        instant first_token_at{};
        int tokens = 0;
    };

    void finish(progress const &request, instant now);

    std::map<std::string, request_class> kinds_;
    std::unordered_map<request_number, progress> open_;
    std::map<std::string, class_score> classes_;
    std::int64_t wasted_tokens_ = 0;
};

/// @param share from 0 to 1
/// @return the value at rank `share` * (n - 1), rounded down, of the n sorted
///         values; 0 if there are none
double percentile(std::vector<double> values, double share);

} // namespace agateledge

#endif
