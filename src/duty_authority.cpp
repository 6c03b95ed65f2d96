#include "duty_authority.hpp"

namespace agateledge
{

std::optional<duty_authority> authority_over(world const & /*w*/, duty /*item*/)
{
    return std::nullopt;
}

} // namespace agateledge
