#include "request_order.hpp"

namespace agateledge
{

bool request_order(world & /*w*/, engine_order const & /*wanted*/)
{
    return false;
}

} // namespace agateledge
