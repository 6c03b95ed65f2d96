#ifndef AGATELEDGE_DISPATCH_QUEUE_HPP
#define AGATELEDGE_DISPATCH_QUEUE_HPP

#include "ids.hpp"
#include "time.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agateledge
{

/// Requests that wait for an engine or endpoint. A lane holds the requests that
/// compete for the same engines, ordered by rank: the arrival time plus a delay
/// for each level of priority. A request that has waited long enough is thereby
/// served before every later arrival.
class dispatch_queue
{
public:
    using ranked = std::pair<instant, request_number>;

    struct lane
    {
        std::set<ranked> waiting;
        /// The lane is not dispatched from before this time.
        instant blocked_until{};
    };

    /// Adds a request, or moves it if it is queued already.
    ///
    /// @param expires time at which the request is reported as expired
    void add(request_number request, std::string const &lane_name, instant rank,
             instant expires);

    /// Removes a request; unknown ones are ignored.
    void remove(request_number request);

    /// Removes and returns the requests that expired by `now`.
    std::vector<request_number> pop_expired(instant now);

    std::map<std::string, lane> &lanes() { return lanes_; }

    /// @return the earliest time at which a request expires, or the maximum
    instant next_expiry() const;

    std::size_t size() const { return positions_.size(); }

private:
    struct queue_position
    {
        lane *queued_in = nullptr;
        instant rank;
        instant expires;
    };

    std::map<std::string, lane> lanes_;
    std::set<ranked> expiries_;
    std::unordered_map<request_number, queue_position> positions_;
};

} // namespace agateledge

#endif
