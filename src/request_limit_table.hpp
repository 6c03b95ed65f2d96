#ifndef AGATELEDGE_REQUEST_LIMIT_TABLE_HPP
#define AGATELEDGE_REQUEST_LIMIT_TABLE_HPP

#include "instance_incarnation.hpp"
#include "time.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace agateledge
{

struct instance_definition;

/// What a reply says of the request limit of its instance.
struct limit_statement
{
    instance_incarnation incarnation;
    /// Requests a second that the instance takes from all daemons together;
    /// nothing when the reply names no limit.
    std::optional<double> limit;
    /// Time at which the call that was replied to was sent.
    instant sent_at{};
    instant received_at{};
};

/// Request limits of instance incarnations, and this daemon's share of them.
/// Each daemon sends at fixed intervals, from a random start, so that daemons
/// that know nothing of each other's calls keep to the limit together. Limits
/// are kept apart from the directory, so that they outlive an entry that
/// disappears and is listed again.
class request_limit_table
{
public:
    /// Maximum number of entries. The one that was named least recently makes
    /// room for a new one.
    static constexpr std::size_t max_entries = 4096;

    /// Sets or ends the limit of an incarnation. A limit ends only by the reply
    /// to a call that was sent after a reply had named it, because replies can
    /// overtake each other; for the same reason, the reply to a call sent
    /// before the one that ended it does not set it again.
    ///
    /// @param daemons number of daemons that share the limit
    /// @param start place of the first request in the daemon's interval, from 0
    ///        to 1
    /// @return true when the incarnation has begun or ceased to have a limit
    bool apply(limit_statement const &statement, double daemons, double start);

    /// Records a request that is sent to the instance.
    ///
    /// @param daemons number of daemons that share the limit
    void record_send(instance_definition const &instance, instant now,
                     double daemons);

    /// @return time from which the instance takes the next request of this
    ///         daemon; the epoch when it names no limit
    instant next_send(instance_definition const &instance, instant now,
                      double daemons) const;

    /// @return requests a second that this daemon may send to the instance;
    ///         nothing when it names no limit
    std::optional<double> share_of(instance_definition const &instance,
                                   double daemons) const;

    /// @return number of incarnations with a limit
    std::size_t size() const;

private:
    struct entry
    {
        /// Nothing when the limit has ended.
        std::optional<double> limit;
        instant named_at{};
        /// Time at which the call whose reply ended the limit was sent.
        instant ended_by_call_sent_at{};
        instant next_send{};
    };
    using entry_map = std::map<instance_incarnation, entry>;

    entry_map::const_iterator find(instance_definition const &instance) const;
    entry &find_or_add(instance_incarnation const &incarnation);

    entry_map entries_;
};

} // namespace agateledge

#endif
