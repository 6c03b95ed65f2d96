#ifndef AGATELEDGE_POLICY_WORLD_HPP
#define AGATELEDGE_POLICY_WORLD_HPP

#include "world.hpp"

#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

/// Creates the world of one daemon with engines "engine-0", "engine-1" and so
/// on of one service, for unit tests of single decisions.
///
/// @param roles role of each engine
world make_policy_world(std::vector<engine_role> const &roles);

/// @return a waiting request of class "lookup" for a world of
///         `make_policy_world`
request_state make_policy_request(world const &w, std::uint64_t number,
                                  int prompt_tokens);

/// @return a load report with the given role, load and age
load_report make_report(std::string engine, engine_role role, int running,
                        int prefill_tokens, duration age);

} // namespace agateledge

#endif
