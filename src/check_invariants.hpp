#ifndef AGATELEDGE_CHECK_INVARIANTS_HPP
#define AGATELEDGE_CHECK_INVARIANTS_HPP

namespace agateledge
{

struct world;

/// Asserts what must hold after each tick. The cost does not depend on the
/// number of open requests: each tick checks what it touched, and a bounded
/// number of table rows in turn.
void check_invariants(world &w);

} // namespace agateledge

#endif
