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

    /// Builds the index from the engines' present state.
    void rebuild(engine_table const &table, instant now,
                 revision_number revision);

    /// Makes the next `due` true; called when an engine's role or readiness
    /// changed.
    void invalidate() { valid_ = false; }

    /// @return true when the index must be built again
    bool due(instant now, revision_number revision) const
    {
        return !valid_ || revision != revision_ || now - built_at_ > max_age;
    }

    /// @return engines of a service with a role, as of the last rebuild
    engines const &of(std::string const &service, engine_role role) const;

    /// @return true when some engine of the service generates answers
    bool generates(std::string const &service) const;

private:
    /// Drains and departures that are marked on the engine itself are seen at
    /// the choice; the index follows within this time.
    static constexpr duration max_age = milliseconds(100);

    bool valid_ = false;
    instant built_at_{};
    revision_number revision_;
    std::unordered_map<std::string, std::array<engines, 3>> by_service_;
    engines none_;
};

} // namespace agateledge

#endif
