#ifndef AGATELEDGE_STORE_VIEW_REPORT_HPP
#define AGATELEDGE_STORE_VIEW_REPORT_HPP

#include "instance_definition.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Instance whose row changed in a way that matters to routing.
struct reported_instance
{
    std::string id;
    /// Version of the row, or of its removal.
    std::uint64_t row_version = 0;
    /// None when the instance is gone.
    std::optional<instance_definition> definition;

    auto operator<=>(reported_instance const &) const = default;
};

/// What a daemon that reads the store tells its neighbours, in a datagram. A
/// lost one is not repeated: each covers the changes of several reads.
struct store_view_report
{
    std::string sender;
    std::string data_centre;
    /// Incarnation of the sender, and sequence number of the report within it.
    /// Reports that arrive out of order are dropped.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Time of the send on the sender's clock, which tells how much longer than
    /// others a report was under way.
    duration sent_at{};
    std::uint64_t era = 0;
    /// The changes lead from this version of the instances, or any later one,
    /// to `version`.
    std::uint64_t from_version = 0;
    std::uint64_t version = 0;
    /// Time since the read was sent that led to `version`.
    duration instances_age{};
    /// Version of the configuration in force at the sender.
    std::uint64_t configuration_version = 0;
    /// Time since the store is known to have had no newer one.
    duration configuration_age{};
    std::vector<reported_instance> changes;

    auto operator<=>(store_view_report const &) const = default;
};

} // namespace agateledge

#endif
