#ifndef AGATELEDGE_PART_EVIDENCE_STATE_HPP
#define AGATELEDGE_PART_EVIDENCE_STATE_HPP

#include "part_evidence_table.hpp"
#include "time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Call that failed with its connection as the engine began to answer. Whether
/// the engine was lost shows within a short time.
struct pending_engine_loss
{
    std::string instance;
    std::uint64_t engine = 0;
    /// Id that the caller assigned to the request.
    std::string request;
    std::uint64_t prompt = 0;
    /// Ids of the prompt's parts that other prompts may share.
    std::vector<std::uint64_t> parts;
    /// The head of the reply, and this number of events, had arrived.
    bool had_head = false;
    int events = 0;
    instant at{};
    /// Connections to several other engines failed at the same time.
    bool joint = false;
};

/// Evidence on prompt parts that crash engines, and its exchange with the other
/// daemons.
struct part_evidence_state
{
    part_evidence_table table;
    /// Oldest first.
    std::vector<pending_engine_loss> pending;
    /// There is evidence that the other daemons have not been sent.
    bool has_news = false;
    /// Earliest time of the next report, and time of the next one without news.
    instant next_report{};
    instant next_repetition{};
    /// There is evidence that the open requests have not been compared with.
    bool verdicts_may_have_changed = false;
    /// Parts that were suspected when the verdicts last changed, ascending.
    std::vector<std::uint64_t> suspected;
};

} // namespace agateledge

#endif
