#ifndef AGATELEDGE_ANSWER_OPERATORS_HPP
#define AGATELEDGE_ANSWER_OPERATORS_HPP

namespace agateledge
{

struct world;

/// Executes the operator statements received in this tick, and continues those
/// whose calls to the table service have returned. Each answer states this
/// daemon's name, the age of the data and whether the answer is complete. A
/// change is answered once its outcome is known.
void answer_operators(world &w);

} // namespace agateledge

#endif
