#ifndef AGATELEDGE_CONFIGURATION_STATE_HPP
#define AGATELEDGE_CONFIGURATION_STATE_HPP

#include "configuration.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <map>
#include <optional>
#include <string>

namespace agateledge
{

/// What the daemon waits for from the table service.
enum class configuration_step
{
    idle,
    reading_head,
    reading_document,
    writing_first,
};

enum class proposal_step
{
    reading_head,
    writing,
    /// The write's effect is unknown; the row of the new revision is read.
    reading_result,
};

/// Change of the configuration that an operator waits for.
struct configuration_proposal
{
    operator_call_number call;
    configuration next;
    /// Identifies the write, so that its writer recognises it when reading.
    std::string attempt;
    proposal_step step = proposal_step::reading_head;
    /// Version of `config/current` that the write replaces.
    std::uint64_t head_version = 0;
    instant sent_at{};
    int tries = 0;
};

/// How this daemon keeps up with the configuration.
struct configuration_state
{
    /// Latest time at which the revision in force was known to be current.
    std::optional<instant> confirmed_at;
    revision_number highest;
    std::optional<instant> started_at;
    configuration_step step = configuration_step::idle;
    operation_number operation;
    instant operation_sent_at{};
    /// Time before the read of `config/current` that is being followed up.
    instant head_read_at{};
    instant next_poll{};
    int failures = 0;
    /// Earliest time of the next fetch from a peer.
    instant next_fetch{};
    instant fetch_sent_at{};
    std::map<operation_number, configuration_proposal> proposals;
};

} // namespace agateledge

#endif
