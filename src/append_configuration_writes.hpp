#ifndef AGATELEDGE_APPEND_CONFIGURATION_WRITES_HPP
#define AGATELEDGE_APPEND_CONFIGURATION_WRITES_HPP

#include "configuration_sections.hpp"

#include <string>

namespace agateledge
{

struct configuration_state;
struct table_call;

/// Adds the writes of a revision to a transaction: the row `config/current`,
/// the index, and the sections that the last known stored revision does not
/// have. The caller adds the conditions.
///
/// @param call transaction that the writes are added to
/// @param sync holds the index of the last revision known to be stored
/// @param index index of the revision
/// @param documents sections of the revision
/// @param write_id identifies the write, so that its writer can recognise it
///        when it reads the rows
void append_configuration_writes(table_call &call,
                                 configuration_state const &sync,
                                 configuration_index const &index,
                                 section_documents const &documents,
                                 std::string const &write_id);

} // namespace agateledge

#endif
