#ifndef AGATELEDGE_REPORTED_LOAD_HPP
#define AGATELEDGE_REPORTED_LOAD_HPP

#include "time.hpp"

#include <cstdint>
#include <string_view>

namespace agateledge
{

/// Estimates what is left of a load that was reported some time ago. Without
/// this, an engine that was busy at the time of the report looks busy until the
/// next one, and the few that were idle get all prompts of the fleet.
///
/// @param tokens prompt tokens that the engine had to prefill, as reported
/// @param age time since the report
/// @param tokens_per_ms prefill speed of the engine
/// @return prompt tokens that it has not prefilled yet
double remaining_tokens(double tokens, duration age, double tokens_per_ms);

/// Rendezvous hash: all daemons rank engines for a prompt part alike without
/// exchanging messages, and each engine ranks first for a share of the parts in
/// proportion to its weight.
///
/// @param part hash of the prompt part
/// @param engine id of the engine
/// @param weight positive
/// @return place of the engine for the part; the lowest ranks first
double prompt_rank_score(std::uint64_t part, std::string_view engine,
                         double weight);

} // namespace agateledge

#endif
