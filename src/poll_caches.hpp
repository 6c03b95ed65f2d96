#ifndef AGATELEDGE_POLL_CACHES_HPP
#define AGATELEDGE_POLL_CACHES_HPP

namespace agateledge
{

struct world;

/// Polls each model engine for the changes of its prefix cache. Prompts with
/// the same shared part arrive at several daemons; with the engines' own
/// reports, a daemon also knows the parts that other daemons have sent, and no
/// engine repeats the prefill of a part that it or another engine already
/// holds.
void poll_caches(world &w);

/// @return true while the engines' caches are polled. In a fleet that is so
///         large that each daemon could poll an engine only rarely, a shared
///         part is assumed to be cached at its preferred engine instead; see
///         `choose_instance`.
bool polls_caches(world const &w);

} // namespace agateledge

#endif
