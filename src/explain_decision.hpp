#ifndef AGATELEDGE_EXPLAIN_DECISION_HPP
#define AGATELEDGE_EXPLAIN_DECISION_HPP

#include "statement.hpp"

#include <json/json.h>

namespace agateledge
{

struct world;

/// Answers a `why` statement from the last decisions of this daemon.
///
/// @return object with `columns`, `rows`, `decisions_overwritten` and, for an
///         engine, `takes_work` and `reasons`
Json::Value explain_decision(world const &w, why_statement const &why);

} // namespace agateledge

#endif
