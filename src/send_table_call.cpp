#include "send_table_call.hpp"

#include "world.hpp"

#include <utility>

namespace agateledge
{

operation_number send_table_call(world &w, table_owner owner, table_call call)
{
    call.operation = operation_number(++w.last_operation);
    call.owner = owner;
    auto const operation = call.operation;
    w.out.table_calls.push_back(std::move(call));
    return operation;
}

} // namespace agateledge
