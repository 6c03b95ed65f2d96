#ifndef AGATELEDGE_RELAY_METRICS_HPP
#define AGATELEDGE_RELAY_METRICS_HPP

#include "latency_quantiles.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace agateledge
{

/// Counters and latencies of the requests that are passed on, served on the
/// metrics address.
struct relay_metrics
{
    /// Label of a counter; the sets of values are bounded by the configuration
    /// and by the result codes.
    using counter_map = std::map<std::string, std::uint64_t>;

    /// Ended requests by outcome.
    counter_map requests;
    /// Refusals and failures of the daemon by result code.
    counter_map refusals;
    /// Calls to instances by result.
    counter_map calls;
    /// Reads of engines' cache changes by result.
    counter_map cache_reads;
    /// Calls to the store by result.
    counter_map store_calls;
    /// Load reports of other daemons by what became of them.
    counter_map load_reports;
    std::uint64_t retries = 0;
    std::uint64_t retries_denied = 0;
    std::uint64_t resumed_streams = 0;
    std::uint64_t prefill_handovers = 0;
    /// Prompt tokens that were expected to be cached and to be read.
    std::uint64_t tokens_cached = 0;
    std::uint64_t tokens_read = 0;
    /// From the arrival of a request to its first call.
    latency_quantiles queued;
    /// From the arrival of a request to the first event or the whole answer.
    latency_quantiles first_event;
    /// Difference between the first event and its prediction.
    latency_quantiles late_by;
};

} // namespace agateledge

#endif
