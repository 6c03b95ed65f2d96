#ifndef AGATELEDGE_PART_EVIDENCE_STATE_HPP
#define AGATELEDGE_PART_EVIDENCE_STATE_HPP

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

/// Evidence on prompt parts that crash engines.
struct part_evidence_state
{
    /// Oldest first.
    std::vector<pending_engine_loss> pending;
};

} // namespace agateledge

#endif
