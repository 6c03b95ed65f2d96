#ifndef AGATELEDGE_QUERY_COLUMNS_HPP
#define AGATELEDGE_QUERY_COLUMNS_HPP

#include "statement.hpp"

#include <string_view>
#include <vector>

namespace agateledge
{

/// @return the word for `target` in a query, for example "engines"
std::string_view name_of(query_target target);

/// @return the columns of `target`, in the order of the cells of a row
std::vector<std::string_view> const &columns_of(query_target target);

/// @return all targets
std::vector<query_target> const &query_targets();

} // namespace agateledge

#endif
