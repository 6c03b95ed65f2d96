#include "standin_answer.hpp"

#include "random_source.hpp"

namespace agateledge
{

std::string standin_token(std::uint64_t seed, int position)
{
    constexpr std::uint64_t vocabulary_size = 1000;
    random_source random(seed ^ (static_cast<std::uint64_t>(position) << 32U));
    return "w" + std::to_string(random.below(vocabulary_size)) + " ";
}

std::string standin_answer(std::uint64_t seed, int tokens)
{
    std::string answer;
    for (int position = 0; position < tokens; ++position)
    {
        answer += standin_token(seed, position);
    }
    return answer;
}

} // namespace agateledge
