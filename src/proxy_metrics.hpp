#ifndef AGATELEDGE_PROXY_METRICS_HPP
#define AGATELEDGE_PROXY_METRICS_HPP

#include "latency_quantiles.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace agateledge
{

/// Counters and latencies of proxied requests, served on the metrics address.
struct proxy_metrics
{
    /// Counts by label value; the configuration and the result codes limit the
    /// number of values.
    using counter_map = std::map<std::string, std::uint64_t>;

    /// Ended requests by outcome.
    counter_map requests;
    /// Requests that the daemon refused or failed, by result code.
    counter_map refusals;
    /// Calls to instances by result.
    counter_map calls;
    /// Reads of engines' cache changes by result.
    counter_map cache_reads;
    /// Calls to the store by result.
    counter_map store_calls;
    /// Load reports from other daemons by result.
    counter_map load_reports;
    /// Incarnations that announced that they leave.
    std::uint64_t leave_announcements = 0;
    /// Requests that waited for a read of the directory.
    std::uint64_t directory_waits = 0;
    /// Calls placed by a directory that is older than the drain bound allows.
    std::uint64_t overdue_placements = 0;
    /// Pauses that instances asked for.
    std::uint64_t instance_pauses = 0;
    /// Request limits that instances began to name.
    std::uint64_t request_limits = 0;
    /// Reports of other daemons on prompts that crash engines, by result.
    counter_map part_evidence_reports;
    /// Connections that failed as an engine began to answer, by cause.
    counter_map connection_failures;
    /// Requests that were not sent on because of a part of their prompt.
    std::uint64_t held_prompts = 0;
    std::uint64_t retries = 0;
    std::uint64_t retries_denied = 0;
    std::uint64_t truncated_replies = 0;
    /// Calls whose reply is not a valid HTTP message.
    std::uint64_t malformed_replies = 0;
    /// Calls that were given up because replies took too much memory.
    std::uint64_t dropped_replies = 0;
    std::uint64_t resumed_streams = 0;
    std::uint64_t prefill_handovers = 0;
    /// Prompt tokens that were predicted to be cached and to be prefilled.
    std::uint64_t tokens_cached = 0;
    std::uint64_t tokens_read = 0;
    /// From the arrival of a request to its first call.
    latency_quantiles queued;
    /// From the choice of an instance until the first byte of the call is sent.
    latency_quantiles placed_to_sent;
    /// Age of the directory of instances when the first byte of a call is sent.
    latency_quantiles sent_directory_age;
    /// From the arrival of a request to the first event or the complete answer.
    latency_quantiles first_event;
    /// Time by which first events exceeded their predictions; 0 for earlier
    /// ones.
    latency_quantiles late_by;
};

} // namespace agateledge

#endif
