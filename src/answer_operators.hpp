#ifndef AGATELEDGE_ANSWER_OPERATORS_HPP
#define AGATELEDGE_ANSWER_OPERATORS_HPP

namespace agateledge
{

struct world;

/// Parses and carries out the statements of operators, and answers those that
/// waited for the table service. Each answer names this daemon, its age and
/// whether it is complete; a change is answered once its outcome is known.
void answer_operators(world &w);

} // namespace agateledge

#endif
