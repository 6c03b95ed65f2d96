#ifndef AGATELEDGE_INSTANCE_TABLE_HPP
#define AGATELEDGE_INSTANCE_TABLE_HPP

#include "engine_speed.hpp"
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

/// Numbers of succeeded and failed calls, weighted by age.
struct call_results
{
    double succeeded = 0;
    double failed = 0;

    /// @return fraction of the calls that failed; 0 without calls
    double failed_share() const
    {
        auto const total = failed + succeeded;
        return total > 0 ? failed / total : 0;
    }

    auto operator<=>(call_results const &) const = default;
};

/// Recent call results of an instance.
struct instance_health
{
    /// Results as of `counted_at`.
    call_results results;
    instant counted_at{};
    /// The instance is ejected, that is, gets no requests, before this time.
    instant ejected_until{};
    /// Duration of the last ejection; doubles while the instance keeps failing.
    duration ejection_time{};

    /// @return the results, weighted by their age at `now`
    call_results results_at(instant now) const;
};

/// Progress of reading the changes of an engine's prefix cache.
struct cache_feed_state
{
    bool in_flight = false;
    /// The last read failed.
    bool failing = false;
    instant next_read{};
    std::string epoch;
    /// Number of the last change that was read.
    std::uint64_t last_change = 0;
};

/// An engine or endpoint of the directory, with this daemon's observations of
/// it.
struct instance_state
{
    instance_definition definition;
    std::uint64_t row_version = 0;
    /// Set when the row disappeared around an outage of the store: the instance
    /// stays in use until this time unless the row is listed again.
    std::optional<instant> expires_at;
    /// Version of the store as of which the row is missing, while `expires_at`
    /// is set.
    std::uint64_t missing_as_of = 0;
    /// Set when another instance replied from this address; reset when the row
    /// changes.
    bool address_reused = false;
    /// Time of the last bytes that it sent on a call of this daemon.
    instant heard_at{};
    instance_health health;
    /// Calls of this daemon that are open.
    std::unordered_set<attempt_number> open_calls;
    /// Prompt tokens of this daemon's open calls still to be prefilled, without
    /// background calls.
    std::int64_t unread_tokens = 0;
    /// Prompt tokens of its background calls still to be prefilled.
    std::int64_t background_tokens = 0;
    /// The engine's key in load reports; see `load_key_of`.
    std::uint64_t load_key = 0;
    /// Unread tokens and open calls of other daemons, from their last reports.
    std::int64_t peer_unread_tokens = 0;
    std::size_t peer_open_calls = 0;
    /// Observations of its speed by this daemon, and those of other daemons
    /// from their last reports.
    speed_samples speed;
    speed_samples peer_speed;
    /// Speed by which it is ranked for prompt parts; see `update_rank_speed`.
    double rank_speed = 1;
    /// The engine takes no work before this time, because its role is about to
    /// change; set by the daemon that orders the change, and by its reports.
    instant closed_until{};
    instant peer_closed_until{};
    /// Smoothed time by which replies exceeded their predictions.
    duration delay{};
    instant delay_seen_at{};
    /// Smoothed pause between the events of its streams.
    duration pause{};
    instant pause_seen_at{};
    prompt_cache_view cache;
    cache_feed_state cache_feed;

    /// Changes the number of tokens still to be prefilled.
    void add_unread_tokens(std::int64_t tokens, bool background)
    {
        (background ? background_tokens : unread_tokens) += tokens;
    }
};

/// Instances of the directory by id.
class instance_table
{
public:
    /// @return the instance, or null when it is not listed
    instance_state *find(std::string const &id);
    instance_state const *find(std::string const &id) const;

    /// Adds or updates an entry. The observations of an instance that restarted
    /// or changed its service are discarded.
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
    void remove_from_service(instance_state const &state);

    std::map<std::string, instance_state> states_;
    std::map<std::string, std::vector<instance_state const *>> by_service_;
};

} // namespace agateledge

#endif
