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
/// for each level of priority, so that a request that waits long enough passes
/// every later one.
class dispatch_queue
{
public:
    using ranked = std::pair<instant, request_number>;

    struct lane
    {
        std::set<ranked> waiting;
        /// No attempt to dispatch is made before this time.
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
    std::vector<request_number> take_expired(instant now);

    std::map<std::string, lane> &lanes() { return lanes_; }

    /// @return the earliest time at which a request expires, or the maximum
    instant next_expiry() const;

    std::size_t size() const { return places_.size(); }

private:
    struct place
    {
        lane *in = nullptr;
        instant rank;
        instant expires;
    };

    std::map<std::string, lane> lanes_;
    std::set<ranked> expiries_;
    std::unordered_map<request_number, place> places_;
};

} // namespace agateledge

#endif
