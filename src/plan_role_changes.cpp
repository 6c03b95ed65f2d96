#include "plan_role_changes.hpp"

#include "world.hpp"

namespace agateledge
{

void plan_role_changes(world &w)
{
    if (w.hooks.plan_roles)
    {
        w.hooks.plan_roles(w);
        return;
    }
}

} // namespace agateledge
