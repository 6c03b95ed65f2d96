#include "apply_configuration.hpp"

#include "world.hpp"

namespace agateledge
{

bool put_in_force(world &w, configuration const &config)
{
    if (config.revision <= w.config.revision &&
        !w.faults.allow_revision_rollback)
    {
        return false;
    }
    w.config = config;
    w.engines.configure(config.engines);
    w.endpoints.configure(config.endpoints);
    return true;
}

} // namespace agateledge
