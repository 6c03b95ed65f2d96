#ifndef AGATELEDGE_PART_EVIDENCE_REPORT_HPP
#define AGATELEDGE_PART_EVIDENCE_REPORT_HPP

#include "engine_loss.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

/// Engine loss in a report.
struct reported_loss
{
    engine_loss loss;
    /// Time since the loss when the report was sent.
    std::uint32_t age_ms = 0;

    auto operator<=>(reported_loss const &) const = default;
};

/// Success of a prompt part in a report.
struct reported_success
{
    std::uint64_t part = 0;
    /// Time since the success when the report was sent.
    std::uint32_t age_ms = 0;

    auto operator<=>(reported_success const &) const = default;
};

/// Evidence on prompt parts that crash engines, as the sender knows it from its
/// own calls and from others. It is merged by the receivers, so that it may be
/// lost, repeated and forwarded.
struct part_evidence_report
{
    std::string sender;
    std::string data_centre;
    std::vector<reported_loss> losses;
    /// Last successes of parts with losses.
    std::vector<reported_success> successes;

    auto operator<=>(part_evidence_report const &) const = default;
};

/// Report to send, with its receivers.
struct part_evidence_send
{
    /// IP addresses and ports of the receivers.
    std::vector<std::string> to;
    std::shared_ptr<part_evidence_report const> report;
};

} // namespace agateledge

#endif
