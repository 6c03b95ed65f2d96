#ifndef AGATELEDGE_RELAY_LIFECYCLE_HPP
#define AGATELEDGE_RELAY_LIFECYCLE_HPP

#include "ids.hpp"
#include "relay_messages.hpp"
#include "result_code.hpp"

#include <optional>
#include <string>

namespace agateledge
{

struct relay_attempt;
struct relay_state_entry;
struct world;

/// How a call ended, for the health of its instance.
enum class call_result
{
    succeeded,
    /// The instance failed, was silent or could not be reached.
    failed,
    /// Says nothing about the instance.
    neutral,
};

/// Ends a call: its load leaves the instance and its result counts for the
/// instance's health.
void close_attempt(world &w, attempt_number attempt, call_result result);

/// Ends a call that is still open and closes its connection.
void cancel_attempt(world &w, attempt_number attempt, call_result result);

/// Frees the KV cache that an engine keeps for the request, if any.
void release_kept_prefill(world &w, relay_state_entry &request);

/// Ends a request with a failure of the daemon's own, or cuts its stream when
/// it has begun. A code that states "not run" must be true.
///
/// @param retry_after when the caller may try again
void refuse_relay(world &w, request_number number, result_code code,
                  std::string const &message,
                  std::optional<duration> retry_after = {});

/// Ends a request whose call failed: as not run when no call can have run, else
/// as unknown.
void fail_relay(world &w, request_number number, std::string const &message);

/// Ends a request after its answer has been given to the caller.
void finish_relay(world &w, request_number number, std::string const &outcome);

/// Lets a request wait for another call, if its route, the shared retry budget
/// and its time allow one.
///
/// @param extra the next call counts as a repeat at the service
/// @param pause shortest time until the next call
/// @return false when no further call is allowed
bool retry_relay(world &w, relay_state_entry &request, bool extra,
                 duration pause, std::string const &reason);

/// @return time after which a refused caller is told to come back: it is spread
///         over the second half of `longest`
duration spread_retry_after(world &w, duration longest);

} // namespace agateledge

#endif
