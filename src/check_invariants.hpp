#ifndef AGATELEDGE_CHECK_INVARIANTS_HPP
#define AGATELEDGE_CHECK_INVARIANTS_HPP

namespace agateledge
{

struct world;

/// Asserts the invariants that hold after each tick. The cost does not depend
/// on the number of open requests: only the output of the tick, the
/// configuration revision and the sizes of tables are checked.
void check_invariants(world &w);

} // namespace agateledge

#endif
