#include "instance_incarnation.hpp"

#include "instance_definition.hpp"

namespace agateledge
{

instance_incarnation incarnation_of(instance_definition const &instance)
{
    return {instance.id, instance.address, instance.started_at_ms};
}

bool is_same_incarnation(instance_incarnation const &incarnation,
                         instance_definition const &instance)
{
    bool const starts_known =
        incarnation.started_at_ms != 0 && instance.started_at_ms != 0;
    bool const same_start =
        starts_known ? incarnation.started_at_ms == instance.started_at_ms
                     : incarnation.address == instance.address;
    return incarnation.id == instance.id && same_start;
}

} // namespace agateledge
