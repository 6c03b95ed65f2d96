#ifndef AGATELEDGE_RENDEZVOUS_RANK_HPP
#define AGATELEDGE_RENDEZVOUS_RANK_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace agateledge
{

struct world;

/// @return weight of a daemon for a duty; the daemon with the highest weight is
///         responsible for it
std::uint64_t rendezvous_weight(std::string_view duty, std::string_view daemon);

/// Ranks the live daemons of this daemon's data centre for one duty by
/// rendezvous hashing, so that daemons with the same membership compute the
/// same order without messages and a change of membership moves few duties.
///
/// @param w the daemon
/// @param duty name of the duty
/// @return this daemon's rank; 0 is the highest
std::size_t rendezvous_rank(world const &w, std::string_view duty);

} // namespace agateledge

#endif
