#ifndef AGATELEDGE_CONFIGURATION_STATE_HPP
#define AGATELEDGE_CONFIGURATION_STATE_HPP

#include "configuration.hpp"
#include "configuration_sections.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <map>
#include <optional>
#include <string>

namespace agateledge
{

/// Operation on the table service whose reply the daemon waits for.
enum class configuration_step
{
    idle,
    /// Read of the row `config/current`.
    reading_head,
    /// Read of the index of a revision.
    reading_index,
    /// Read of the sections of that revision that are not cached.
    reading_sections,
    /// Write of the initial configuration as the first revision.
    writing_first_revision,
};

/// Operation on the table service that a proposal waits for.
enum class proposal_step
{
    reading_head,
    writing,
    /// Read of the new revision's row after a write whose outcome is unknown or
    /// that met a conflict.
    reading_result,
};

/// Change of the configuration whose result an operator waits for.
struct configuration_proposal
{
    operator_call_number call;
    configuration next;
    /// Index and sections of `next`, in the form in which they are written.
    configuration_index index;
    section_documents documents;
    /// Identifies the write, so that its writer recognises it when reading.
    std::string write_id;
    proposal_step step = proposal_step::reading_head;
    /// Version of `config/current` that the write replaces.
    std::uint64_t head_version = 0;
    instant sent_at{};
    /// Operations sent to the table service so far, reads included.
    int operations_sent = 0;
};

/// State of this daemon's synchronisation with the current configuration.
struct configuration_state
{
    /// Latest time at which the revision in force was known to be current.
    std::optional<instant> confirmed_at;
    /// Highest revision that has been in force, checked by the invariants.
    revision_number highest_revision;
    /// Time of the first tick.
    std::optional<instant> started_at;
    configuration_step step = configuration_step::idle;
    /// Operation that `step` waits for.
    operation_number operation;
    instant operation_sent_at{};
    /// Time at which the last read of `config/current` was sent.
    instant head_read_at{};
    instant next_poll{};
    /// Consecutive failed operations, for the back-off.
    int failures = 0;
    /// Earliest time of the next fetch of a revision that a peer announced.
    instant next_fetch{};
    /// Time at which the last such fetch was sent.
    instant fetch_sent_at{};
    /// Index that was last read from or written to the table service, which
    /// therefore holds its sections.
    configuration_index stored;
    /// Cached sections, by digest.
    section_documents documents;
    /// Index whose sections are being read.
    configuration_index pending;
    std::map<operation_number, configuration_proposal> proposals;
};

} // namespace agateledge

#endif
