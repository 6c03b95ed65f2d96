#ifndef AGATELEDGE_STANDIN_ANSWER_HPP
#define AGATELEDGE_STANDIN_ANSWER_HPP

#include <cstdint>
#include <string>

namespace agateledge
{

/// Text of one token that the engine stand-in generates. It depends only on the
/// seed and the position, so that a test can compute the complete answer and
/// another engine can continue a stream with the same text.
///
/// @param seed seed of the request
/// @param position position of the token in the answer, from 0
std::string standin_token(std::uint64_t seed, int position);

/// @return the complete answer of `tokens` tokens
std::string standin_answer(std::uint64_t seed, int tokens);

} // namespace agateledge

#endif
