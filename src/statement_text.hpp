#ifndef AGATELEDGE_STATEMENT_TEXT_HPP
#define AGATELEDGE_STATEMENT_TEXT_HPP

#include "statement.hpp"

#include <string>

namespace agateledge
{

/// @return `value` in the operator language; `parse_statement` parses it to an
///         equal statement
std::string to_text(statement const &value);

/// @return one change in the operator language, without ";"
std::string to_text(configuration_change const &value);

/// @return one order in the operator language
std::string to_text(order_change const &value);

} // namespace agateledge

#endif
