#include "meets_target.hpp"

#include "engine_order.hpp"
#include "inbox.hpp"

namespace agateledge
{

bool meets_target(load_report const &report, engine_order const &order)
{
    switch (order.kind)
    {
    case order_kind::change_role:
        return report.role == order.role;
    case order_kind::load_model:
        return report.model == order.name &&
               report.model_version == order.version;
    case order_kind::load_adapter:
        return false;
    }
    return false;
}

} // namespace agateledge
