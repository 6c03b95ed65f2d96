#ifndef AGATELEDGE_ROW_MESSAGES_HPP
#define AGATELEDGE_ROW_MESSAGES_HPP

#include "instance_definition.hpp"
#include "routing_configuration.hpp"
#include "time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// Table of the platform's store that a daemon follows.
enum class followed_table
{
    configuration,
    instances,
    daemons,
};

constexpr std::size_t followed_table_count = 3;

/// @return the name of a followed table in logs
std::string_view name_of(followed_table table);

/// Reads a followed table: whole, or what changed after a version.
struct row_read
{
    followed_table table = followed_table::configuration;
    bool whole = true;
    /// Key after which a whole read goes on; empty for its begin.
    std::string after_key;
    /// Version after which changes are asked for.
    std::uint64_t after_version = 0;
    /// Time for which the store waits for a change.
    duration wait{};
    duration timeout{};

    auto operator<=>(row_read const &) const = default;
};

enum class row_outcome
{
    answered,
    /// The store no longer has the history that was asked for.
    history_lost,
    /// The store refused the call and did nothing.
    refused,
    /// No usable reply; a write may have taken effect.
    failed,
};

/// @return the name of an outcome in logs and metrics
std::string_view name_of(row_outcome outcome);

/// A row of `followed_table::instances`.
struct instance_row
{
    std::string id;
    std::uint64_t row_version = 0;
    /// Null when the row was removed or cannot be read as an instance.
    std::shared_ptr<instance_definition const> instance;
    /// The row exists and cannot be read.
    bool unreadable = false;
};

/// A row of `followed_table::daemons`.
struct daemon_row
{
    std::string name;
    std::uint64_t row_version = 0;
    bool removed = false;
    /// IP address and port for reports of other daemons; empty when not told.
    std::string peer_address;
    std::string data_centre;
};

/// Reply to a `row_read`.
struct row_read_reply
{
    followed_table table = followed_table::configuration;
    bool whole = true;
    row_outcome outcome = row_outcome::failed;
    /// HTTP status, or 0 without a reply.
    int status = 0;
    /// Newest version of the store.
    std::uint64_t version = 0;
    /// More rows follow after `last_key`.
    bool truncated = false;
    std::string last_key;
    std::vector<instance_row> instances;
    std::vector<daemon_row> daemons;
    /// Null when the reply holds none.
    std::shared_ptr<routing_configuration const> configuration;
    /// What could not be read, or what the store said of a failure.
    std::string fault;
};

/// Writes this daemon's own row.
struct daemon_row_write
{
    std::string name;
    bool remove = false;
    std::string peer_address;
    std::string data_centre;
};

} // namespace agateledge

#endif
