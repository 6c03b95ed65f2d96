#include "next_available_instance.hpp"

#include "available_from.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

instance_state const *next_available_instance(world const &w,
                                              std::string const &service)
{
    auto const start_of = [&w](instance_state const *instance)
    {
        bool const answers = instance->definition.role != engine_role::prefill;
        return answers ? available_from(w, *instance) : instant::max();
    };
    auto const &instances = w.proxy.instances.of_service(service);
    auto const first = std::ranges::min_element(instances, {}, start_of);
    bool const found =
        first != instances.end() && start_of(*first) != instant::max();
    return found ? *first : nullptr;
}

} // namespace agateledge
