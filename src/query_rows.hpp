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

/// Rows of one answer, each with the columns of the query's target.
struct query_result
{
    std::vector<std::vector<Json::Value>> rows;
    /// Age of the oldest part; nothing when it is not known.
    std::optional<duration> age;
    /// False when other daemons may know rows or values that are missing here.
    bool complete = false;
    /// Rows that matched before the limit cut them.
    std::size_t matched = 0;
};

/// Rows that a query has without a `limit`, and the most it may ask for.
constexpr unsigned default_row_limit = 200;
constexpr unsigned max_row_limit = 10000;

/// @return true for a target whose rows are in the table service
bool reads_table_service(query_target target);

/// Answers a query from the tables of this daemon.
query_result query_rows(world const &w, query_statement const &query);

/// Answers a query from rows of the table service.
///
/// @param rows rows as read; values that are not JSON objects are left out
query_result query_table_rows(query_statement const &query,
                              std::vector<table_row> const &rows);

} // namespace agateledge

#endif
