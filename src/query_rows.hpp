#ifndef AGATELEDGE_QUERY_ROWS_HPP
#define AGATELEDGE_QUERY_ROWS_HPP

#include "statement.hpp"
#include "table_row.hpp"
#include "time.hpp"

#include <json/json.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace agateledge
{

struct world;

/// Rows of an answer, with one cell for each column of the query's target.
struct query_result
{
    std::vector<std::vector<Json::Value>> rows;
    /// Age of the oldest data in the answer; empty if it is unknown.
    std::optional<duration> age;
    /// False if other daemons may have rows or values that this answer lacks.
    bool complete = false;
    /// The table service may have more rows than were read.
    bool truncated = false;
    /// Number of rows that matched, before the limit was applied.
    std::size_t matched = 0;
};

/// Row limit of a query without `limit`, and the highest limit; a query with a
/// higher one gets this one. The highest limit also applies to the rows that
/// are read from the table service before they are filtered.
constexpr unsigned default_row_limit = 200;
constexpr unsigned max_row_limit = 10000;

/// @return true if the rows of `target` are stored in the table service
bool reads_table_service(query_target target);

/// Answers a query from the state of this daemon.
query_result query_rows(world const &w, query_statement const &query);

/// Answers a query from rows of the table service.
///
/// @param rows rows as read, at most `max_row_limit`; those whose value is not
/// a
///        JSON object are skipped
query_result query_table_rows(query_statement const &query,
                              std::vector<table_row> const &rows);

} // namespace agateledge

#endif
