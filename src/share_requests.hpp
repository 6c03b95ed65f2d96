#ifndef AGATELEDGE_SHARE_REQUESTS_HPP
#define AGATELEDGE_SHARE_REQUESTS_HPP

#include "ids.hpp"

#include <vector>

namespace agateledge
{

struct proxy_request_state;
struct world;

// Shares of the client accounts in a service under scarcity, by the decision in
// account_shares.hpp. Without accounts in the configuration, requests are
// ordered by priority and none is refused.

/// Counts an admitted request for its account.
void record_account_request(world &w, proxy_request_state const &request);

/// Counts a call for the account of its request, before it is sent.
///
/// @param unread_tokens prompt tokens that the instance will prefill
void record_account_work(world &w, proxy_request_state const &request,
                         int unread_tokens);

/// Records that a request could not be served in time. If its account is within
/// its share, requests of accounts beyond theirs are refused for a short time.
void record_unserved_request(world &w, proxy_request_state const &request);

/// Records a request that is held back at the daemon as unserved, once it has
/// waited for a considerable part of its target.
void record_waiting_request(world &w, proxy_request_state const &request);

/// Refuses a request that has just arrived, as not run, when its account takes
/// more than its share while other accounts' requests are not served in time.
///
/// @return true when the request was refused
bool refuse_over_share(world &w, proxy_request_state const &request);

/// Refuses a request that will be late, as not run, when its account takes more
/// than its share. Other requests are served late as far as there is capacity.
///
/// @return true when the request was refused
bool refuse_late_over_share(world &w, proxy_request_state const &request);

/// @param waiting numbers of waiting requests
/// @return the numbers in order of service
std::vector<request_number>
order_waiting_requests(world &w, std::vector<request_number> waiting);

} // namespace agateledge

#endif
