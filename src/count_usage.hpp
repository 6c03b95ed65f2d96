#ifndef AGATELEDGE_COUNT_USAGE_HPP
#define AGATELEDGE_COUNT_USAGE_HPP

#include "ids.hpp"
#include "time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace agateledge
{

struct proxy_request_state;
struct usage_state;
struct world;

// Counts what requests use, for the reports to the holders of the duties. All
// functions do nothing in a daemon without duties.

/// Counts a stream that has received its first event.
void count_stream_start(world &w, proxy_request_state const &request);

/// Counts a call that was sent, and the tokens that its engine prefills. A
/// request to a plain endpoint begins to run at that time, as far as the daemon
/// can tell.
///
/// @param first the request has not been sent before
void count_sent_call(world &w, proxy_request_state const &request, bool first,
                     int unread_tokens);

/// Corrects the count of a request to a plain endpoint whose call did not run.
void count_call_not_run(world &w, proxy_request_state const &request);

/// Counts a request that has ended.
void count_request_end(world &w, proxy_request_state const &request, bool late,
                       bool refused);

/// Forgets a request.
void forget_counted_request(world &w, request_number number);

/// Sends the counts to the holders of the duties and their successors, and
/// takes in the counts of other daemons.
///
/// @param w the daemon
void exchange_usage(world &w);

/// @return the state of the usage reports, which is created if absent
usage_state &usage_of(world &w);

/// @return estimated time since the Unix epoch; nothing without a clock
std::optional<duration> wall_time(world const &w);

/// @return window of the wall-clock time
std::int64_t window_at(world const &w, duration wall_time);

} // namespace agateledge

#endif
