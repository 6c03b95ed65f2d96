#ifndef AGATELEDGE_SHARE_STORE_READS_HPP
#define AGATELEDGE_SHARE_STORE_READS_HPP

#include "time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace agateledge
{

enum class polled_table;
struct instance_definition;
struct row_read;
struct row_read_reply;
struct world;

/// Maximum time by which a daemon that follows the reports of others reads the
/// store later than they do.
constexpr duration max_report_lag = milliseconds(400);

// In a fleet whose daemons do not all report to each other, two daemons of each
// data centre read the store and send the others what changed. A daemon whose
// view grows older than its bounds allow reads the store itself.

/// Takes over the reports of other daemons and the configuration that a
/// neighbour sent, and decides whether this daemon reads for others. Runs
/// before the store is polled.
///
/// @param w the daemon
void receive_store_views(world &w);

/// Sends a report when this daemon reads for others and a read was answered,
/// and asks neighbours for a configuration that the store does not give. Runs
/// after the directory was updated.
///
/// @param w the daemon
void share_store_reads(world &w);

/// @return time until which the table need not be read, because reports of
///         others keep it recent enough
instant shared_until(world &w, polled_table table, duration interval,
                     duration long_poll_wait);

/// @return true when another daemon has announced a newer configuration
bool newer_configuration_announced(world &w);

/// @return true when the configuration was announced and the store has not been
///         asked for it yet
bool awaits_first_read_of_announced(world &w);

/// Records that a read was sent.
void record_store_read(world &w, row_read const &read);

/// Logs and counts an answer that is older than what this daemon knew when it
/// sent the read.
///
/// @return true for such an answer
bool is_older_answer(world &w, row_read_reply const &reply);

/// Records the answer to a read, before its rows are applied.
///
/// @param version_before version up to which changes had been read
void record_store_answer(world &w, row_read_reply const &reply,
                         std::uint64_t version_before);

/// Records that an instance was listed, changed or removed.
///
/// @param definition none when it is gone
void record_instance_change(
    world &w, std::string const &id, std::uint64_t row_version,
    std::optional<instance_definition> const &definition);

/// @return true once the daemon has asked its neighbours for a newer
///         configuration than the store's, or need not
bool has_checked_neighbours(world const &w);

} // namespace agateledge

#endif
