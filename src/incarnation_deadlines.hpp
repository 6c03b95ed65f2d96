#ifndef AGATELEDGE_INCARNATION_DEADLINES_HPP
#define AGATELEDGE_INCARNATION_DEADLINES_HPP

#include "instance_incarnation.hpp"
#include "time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace agateledge
{

struct instance_definition;

/// Deadlines of instance incarnations. They are kept apart from the directory,
/// so that they outlive an entry that disappears and is listed again.
class incarnation_deadlines
{
public:
    /// Maximum number of entries. The entry with the earliest deadline makes
    /// room for a new one.
    static constexpr std::size_t max_entries = 4096;

    /// Sets the deadline of an incarnation; a later one is kept.
    ///
    /// @return true when the incarnation had none
    bool extend(instance_incarnation const &incarnation, instant deadline);

    /// Without a known start on both sides, incarnations of one id are the same
    /// if their addresses are.
    ///
    /// @return the latest deadline of the instance's incarnation, or nothing
    std::optional<instant> find(instance_definition const &instance) const;

    /// Extends the deadlines of the incarnations that `applies_to` selects.
    void extend_if(
        std::function<bool(instance_incarnation const &)> const &applies_to,
        instant deadline);

    /// Removes the entries whose deadlines are not after `now`.
    void expire(instant now);

    std::size_t size() const { return deadlines_.size(); }

private:
    std::map<instance_incarnation, instant> deadlines_;
};

} // namespace agateledge

#endif
