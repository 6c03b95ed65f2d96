#ifndef AGATELEDGE_CANDIDATE_INDEX_HPP
#define AGATELEDGE_CANDIDATE_INDEX_HPP

#include "engine_role.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

class engine_table;

/// Engines that take work, by service and role. Rebuilt when reports or the
/// configuration change, so that a decision does not scan the fleet.
class candidate_index
{
public:
    using engines = std::vector<engine_index>;

    /// Builds the index from the engines' current state.
    void rebuild(engine_table const &table, instant now,
                 revision_number revision);

    /// Makes `rebuild_due` true until the next rebuild; called when an engine's
    /// role or readiness changed.
    void invalidate() { valid_ = false; }

    /// @return true when the index must be rebuilt
    bool rebuild_due(instant now, revision_number revision) const
    {
        return !valid_ || revision != revision_ || now - built_at_ > max_age;
    }

    /// @return engines of a service with a role, as of the last rebuild
    engines const &of(std::string const &service, engine_role role) const;

    /// @return true when an engine of the service can decode
    bool has_generating_engine(std::string const &service) const;

private:
    /// Age at which the index is rebuilt. An engine that drains or leaves gets
    /// no work even before, because `select_engine` checks its current state.
    static constexpr duration max_age = milliseconds(100);

    bool valid_ = false;
    instant built_at_{};
    revision_number revision_;
    std::unordered_map<std::string, std::array<engines, 3>> by_service_;
    engines empty_;
};

} // namespace agateledge

#endif
