#ifndef AGATELEDGE_FORWARD_ANSWERS_HPP
#define AGATELEDGE_FORWARD_ANSWERS_HPP

namespace agateledge
{

struct world;

/// Forwards this tick's answers of engines and endpoints to their callers.
/// Events are matched by attempt; those of an ended attempt are dropped. A
/// chunk whose offset is not the expected one ends the attempt, and a new
/// attempt continues the request, so that a caller never sees a gap or an
/// overlap.
void forward_answers(world &w);

} // namespace agateledge

#endif
