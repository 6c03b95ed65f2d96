#ifndef AGATELEDGE_SEND_TABLE_CALL_HPP
#define AGATELEDGE_SEND_TABLE_CALL_HPP

#include "ids.hpp"
#include "table_call.hpp"

namespace agateledge
{

struct world;

/// Sends one operation to the table service.
///
/// @param w the daemon
/// @param owner part of the daemon that handles the reply
/// @param call the operation; its number and owner are set here
/// @return the number under which the reply arrives in `inbox::table_replies`
operation_number send_table_call(world &w, table_owner owner, table_call call);

} // namespace agateledge

#endif
