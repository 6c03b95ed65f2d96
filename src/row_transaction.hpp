#ifndef AGATELEDGE_ROW_TRANSACTION_HPP
#define AGATELEDGE_ROW_TRANSACTION_HPP

#include "time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Version that a row must have for a transaction to take effect.
struct row_condition
{
    std::string key;
    /// 0: the row must not exist.
    std::uint64_t version = 0;

    auto operator<=>(row_condition const &) const = default;
};

/// New content of a row.
struct row_put
{
    std::string key;
    std::string value;

    auto operator<=>(row_put const &) const = default;
};

/// Pass that sent a transaction and handles its reply.
enum class row_owner
{
    lease,
    usage,
    capacity,
};

/// Transaction on rows of the system's own table `duties`: either all
/// conditions hold and all writes take effect, or nothing does. Without puts
/// and removes it reads the rows of its conditions.
struct row_transaction
{
    std::uint64_t operation = 0;
    row_owner owner = row_owner::lease;
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
    std::vector<std::string> removes;
    duration timeout{};

    auto operator<=>(row_transaction const &) const = default;
};

enum class row_transaction_outcome
{
    committed,
    /// A condition did not hold; the reply has the current rows.
    conflict,
    /// The store states that it did nothing.
    refused,
    /// No usable reply: the transaction may have taken effect, or may still do
    /// so while its conditions hold.
    unknown,
};

/// Row as the store returned it.
struct stored_row
{
    std::string key;
    std::string value;
    /// 0 when the row does not exist.
    std::uint64_t version = 0;

    auto operator<=>(stored_row const &) const = default;
};

/// Reply to a `row_transaction`.
struct row_transaction_reply
{
    std::uint64_t operation = 0;
    row_owner owner = row_owner::lease;
    row_transaction_outcome outcome = row_transaction_outcome::unknown;
    /// HTTP status, or 0 without a reply.
    int status = 0;
    /// Version that a committed transaction gave to its rows.
    std::uint64_t version = 0;
    /// Current rows of the conditions, after a conflict or a read.
    std::vector<stored_row> rows;
    /// Era of the store; 0 when the reply names none.
    std::uint64_t store_era = 0;
    std::string fault;
};

} // namespace agateledge

#endif
