#ifndef AGATELEDGE_TABLE_CALL_HPP
#define AGATELEDGE_TABLE_CALL_HPP

#include "ids.hpp"
#include "table_row.hpp"

#include <compare>
#include <string>
#include <vector>

namespace agateledge
{

/// System that issued a table operation and receives its reply.
enum class table_owner
{
    lease,
    order,
    claim,
    configuration,
    usage,
    operators,
};

/// Condition of a transaction: the row must have exactly this version.
struct table_condition
{
    std::string key;
    /// 0 requires the row to be absent.
    std::uint64_t version = 0;

    auto operator<=>(table_condition const &) const = default;
};

/// Write of one row in a transaction.
struct table_put
{
    std::string key;
    std::string value;

    auto operator<=>(table_put const &) const = default;
};

/// Operation on the table service: a read if `puts` and `deletes` are empty, a
/// transaction otherwise.
struct table_call
{
    operation_number operation;
    table_owner owner = table_owner::lease;
    /// Keys of the rows to read.
    std::vector<std::string> keys;
    /// Key prefix of the rows to read; empty for no read by prefix.
    std::string prefix;
    /// Maximum number of rows that a read by prefix returns.
    int limit = 100;
    std::vector<table_condition> conditions;
    std::vector<table_put> puts;
    std::vector<std::string> deletes;

    bool is_write() const { return !puts.empty() || !deletes.empty(); }

    auto operator<=>(table_call const &) const = default;
};

/// Outcome of a table operation.
enum class table_outcome
{
    /// The read succeeded, or the transaction took effect.
    committed,
    /// A condition did not hold; `rows` has the current rows of the conditions.
    conflict,
    /// The operation failed and certainly had no effect.
    unavailable,
    /// The transaction may or may not have taken effect.
    unknown,
};

/// Reply to a `table_call`.
struct table_reply
{
    operation_number operation;
    table_owner owner = table_owner::lease;
    table_outcome outcome = table_outcome::unavailable;
    /// Rows read; after a commit, the rows written with their new versions.
    std::vector<table_row> rows;

    auto operator<=>(table_reply const &) const = default;
};

} // namespace agateledge

#endif
