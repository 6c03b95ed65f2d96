#ifndef AGATELEDGE_INSTANCE_TABLE_HPP
#define AGATELEDGE_INSTANCE_TABLE_HPP

#include "ids.hpp"
#include "instance_definition.hpp"
#include "prompt_cache_view.hpp"
#include "time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace agateledge
{

/// Ends of calls, weighted by age.
struct call_results
{
    double succeeded = 0;
    double failed = 0;

    /// @return part of the calls that failed; 0 without calls
    double failed_share() const
    {
        auto const total = failed + succeeded;
        return total > 0 ? failed / total : 0;
    }

    auto operator<=>(call_results const &) const = default;
};

/// How the calls of an instance ended lately.
struct instance_health
{
    /// Results as of `counted_at`.
    call_results results;
    instant counted_at{};
    /// No work is given before this time.
    instant avoided_until{};
    /// Length of the next pause; grows while the instance keeps failing.
    duration next_pause{};

    /// @return the results with their weight at `now`
    call_results results_at(instant now) const;
};

/// How far the changes of an engine's prefix cache have been read.
struct cache_feed_state
{
    bool in_flight = false;
    /// The last read failed.
    bool failing = false;
    instant next_read{};
    std::string epoch;
    /// Change up to which the cache is known.
    std::uint64_t last_change = 0;
};

/// An engine or endpoint of the directory, with what this daemon has seen of
/// it.
struct instance_state
{
    instance_definition definition;
    std::uint64_t row_version = 0;
    /// Set when the row went missing around an outage of the store: the
    /// instance is used until this time unless its row comes back.
    std::optional<instant> lapses_at;
    /// Set when the address answered for another instance; until the row
    /// changes again.
    bool address_taken = false;
    instance_health health;
    /// Calls of this daemon that are open.
    std::unordered_set<attempt_number> open_calls;
    /// Prompt tokens of open calls that the engine has yet to read.
    std::int64_t unread_tokens = 0;
    /// The engine's key in load reports; see `load_key_of`.
    std::uint64_t load_key = 0;
    /// The same of other daemons' calls, as they last reported.
    std::int64_t others_unread_tokens = 0;
    std::size_t others_open_calls = 0;
    /// Time by which replies came later than predicted, smoothed.
    duration delay{};
    instant delay_seen_at{};
    /// Pauses between the events of its streams, smoothed.
    duration pause{};
    instant pause_seen_at{};
    prompt_cache_view cache;
    cache_feed_state cache_feed;
};

/// Instances of the directory by id.
class instance_table
{
public:
    /// @return the instance, or null when it is not listed
    instance_state *find(std::string const &id);
    instance_state const *find(std::string const &id) const;

    /// Adds or changes an entry. A new incarnation of the instance starts with
    /// nothing known of it.
    ///
    /// @return the entry
    instance_state &put(instance_definition const &definition,
                        std::uint64_t row_version);

    void erase(std::string const &id);

    /// @return the instances of a service, by ascending id; valid until the
    ///         next change
    std::vector<instance_state const *> const &
    of_service(std::string const &name) const;

    std::map<std::string, instance_state> const &all() const { return states_; }
    std::map<std::string, instance_state> &all() { return states_; }

private:
    void leave_service(instance_state const &state);

    std::map<std::string, instance_state> states_;
    std::map<std::string, std::vector<instance_state const *>> by_service_;
};

} // namespace agateledge

#endif
