#ifndef AGATELEDGE_FOLLOW_CACHES_HPP
#define AGATELEDGE_FOLLOW_CACHES_HPP

namespace agateledge
{

struct world;

/// Reads the changes of the prefix cache of each model engine in turn. Answers
/// the load of the heaviest days, prompts whose shared parts enter by several
/// daemons: no engine should read a part that it or another engine holds
/// because a different daemon sent it there.
void follow_caches(world &w);

/// @return true while the engines' caches are read. In a fleet where this
///         daemon's turn to read each engine would come too rarely, shared
///         parts are assumed to lie at their homes instead; see
///         `choose_instance`.
bool follows_caches(world const &w);

} // namespace agateledge

#endif
