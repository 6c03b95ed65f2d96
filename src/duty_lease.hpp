#ifndef AGATELEDGE_DUTY_LEASE_HPP
#define AGATELEDGE_DUTY_LEASE_HPP

#include "duty_authority.hpp"
#include "lease_row.hpp"
#include "lease_table.hpp"
#include "row_transaction.hpp"
#include "time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Write of the row of a duty's lease that may take effect.
struct duty_attempt
{
    lease_attempt write;
    /// Era of the store when it was sent.
    std::uint64_t era = 0;
    /// Time from which the holder may act if the write took effect.
    instant acts_from{};
};

enum class duty_rows_progress
{
    waiting,
    sent,
    committed,
    /// One of the rows has another version; `current` has the rows.
    conflict,
};

/// Rows that the holder of a duty writes in one transaction with the next
/// renewal of its lease, so that they take effect only while it holds it.
struct duty_rows
{
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
    std::vector<std::string> removes;
    duty_rows_progress progress = duty_rows_progress::waiting;
    /// Ids of the lease writes that contained the rows.
    std::vector<std::string> attempts;
    std::vector<stored_row> current;
};

/// Lease of one duty as this daemon knows it.
struct duty_lease
{
    duty item = duty::report_usage;
    /// Row as last read, written or announced, and its version.
    lease_row row;
    std::uint64_t version = 0;
    bool observed = false;
    /// Time at which this version of the row was first known.
    instant observed_at{};
    /// The row was known in the same era of the store before it got this
    /// version.
    bool changed_in_era = false;
    /// Version of the row with the highest fencing token of the store's present
    /// era. The row's key has the era, so that writes of earlier eras that take
    /// effect late do not change it.
    std::uint64_t fence_version = 0;
    fencing_number highest_fencing;
    /// Rows with the tokens of earlier eras.
    std::vector<std::string> old_fences;
    /// True while the row names this incarnation of this daemon.
    bool held = false;
    instant authority_until{};
    instant acts_from{};
    lease_step step = lease_step::idle;
    std::uint64_t operation = 0;
    instant operation_sent_at{};
    std::uint64_t operation_era = 0;
    /// Content of the write in progress.
    lease_row sent_row;
    std::vector<duty_attempt> attempts;
    instant next_action{};
    int failures = 0;
    bool release_sent = false;
    /// Position of this daemon in the order in which daemons take over.
    std::size_t rank = 0;
    std::optional<duty_rows> rows;
};

} // namespace agateledge

#endif
