#ifndef AGATELEDGE_PROXY_LIFECYCLE_HPP
#define AGATELEDGE_PROXY_LIFECYCLE_HPP

#include "ids.hpp"
#include "proxy_messages.hpp"
#include "result_code.hpp"

#include <optional>
#include <string>

namespace agateledge
{

struct proxy_attempt;
struct proxy_request_state;
struct world;

/// Result of a call, for the health of its instance.
enum class call_result
{
    succeeded,
    /// The instance failed, did not reply or could not be reached.
    failed,
    /// The result does not count for the instance's health.
    neutral,
};

/// Removes a call, subtracts its load from the instance and records its result
/// in the instance's health.
void close_attempt(world &w, attempt_number attempt, call_result result);

/// Closes a call that is still in progress, and its connection.
void cancel_attempt(world &w, attempt_number attempt, call_result result);

/// Releases the KV cache that an engine retains for the request, if any.
void release_kept_prefill(world &w, proxy_request_state &request);

/// Ends a request with an error reply of the daemon, or cuts its stream when it
/// has begun. Pass a code that means "not run" only when no call can have run:
/// callers then send the request again.
///
/// @param retry_after time after which the caller may try again
void refuse_proxied_request(world &w, request_number number, result_code code,
                            std::string const &message,
                            std::optional<duration> retry_after = {});

/// Ends a request that failed: as not run when no call can have run, else with
/// an unknown outcome.
void fail_proxied_request(world &w, request_number number,
                          std::string const &message);

/// Forgets a request, and ends the reservation of a call that it waits for.
void remove_proxied_request(world &w, request_number number);

/// Ends a request after its answer has been forwarded to the caller.
///
/// @param outcome value of the outcome label in the log and the metrics
void finish_proxied_request(world &w, request_number number,
                            std::string const &outcome);

/// Queues a request for another call, if its route, the shared retry budget and
/// its deadline allow one.
///
/// @param extra the next call counts against the retry budget
/// @param pause minimum time until the next call
/// @param reason why the previous call failed, for the log
/// @return false when no further call is allowed
bool retry_proxied_request(world &w, proxy_request_state &request, bool extra,
                           duration pause, std::string const &reason);

/// @return random retry-after time between half of `max_retry_after` and the
///         whole of it, so that refused callers do not all return at once
duration spread_retry_after(world &w, duration max_retry_after);

} // namespace agateledge

#endif
