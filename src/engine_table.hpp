#ifndef AGATELEDGE_ENGINE_TABLE_HPP
#define AGATELEDGE_ENGINE_TABLE_HPP

#include "engine_definition.hpp"
#include "ids.hpp"
#include "inbox.hpp"
#include "time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// This daemon's view of one engine.
struct engine_state
{
    engine_definition definition;
    /// False once the configuration no longer lists the engine.
    bool configured = true;
    /// Work that this daemon has open on the engine.
    int local_requests = 0;
    int local_prefill_tokens = 0;
    int local_decode_requests = 0;
    std::int64_t local_kv_tokens = 0;
    /// Work that peers reported open on the engine.
    int peer_requests = 0;
    int peer_prefill_tokens = 0;
    int peer_decode_requests = 0;
    /// Last load report, and the time at which it was measured.
    std::optional<load_report> report;
    instant report_measured_at{};
    /// True while an order of this daemon or a peer makes the engine
    /// unavailable, from the time at which the order is recorded.
    bool changing = false;
    /// True when the platform lists the engine's host as leaving.
    bool leaving = false;
    /// Time since which the engine has had to drain, if it has to.
    std::optional<instant> draining_since;

    /// @return true when the engine gets no new work and its open work must end
    ///         or move to another engine
    bool must_drain() const
    {
        return !configured || definition.draining || definition.withdrawn ||
               changing || leaving;
    }

    /// @return the role that was last reported, or else the configured one
    engine_role role() const { return report ? report->role : definition.role; }

    /// @return true when new work may be sent to the engine
    bool takes_work() const
    {
        return !must_drain() && (!report || report->ready);
    }
};

/// Engines by index. An index stays valid for the life of the process.
class engine_table
{
public:
    /// Applies the engines of a configuration: adds new ones, updates known
    /// ones and clears `configured` of those that are no longer listed.
    void configure(std::vector<engine_definition> const &definitions);

    /// @return the index of the engine of that name, or nothing
    std::optional<engine_index> find(std::string_view name) const;

    engine_state &at(engine_index index) { return states_.at(index.value()); }
    engine_state const &at(engine_index index) const
    {
        return states_.at(index.value());
    }

    std::vector<engine_state> &all() { return states_; }
    std::vector<engine_state> const &all() const { return states_; }

private:
    std::vector<engine_state> states_;
    std::unordered_map<std::string, engine_index> by_name_;
};

} // namespace agateledge

#endif
