#ifndef AGATELEDGE_STORE_CONFIGURATION_HPP
#define AGATELEDGE_STORE_CONFIGURATION_HPP

#include "configuration_sections.hpp"

#include <string>

namespace agateledge
{

struct configuration_state;
struct table_call;

/// Adds the writes of a revision to a transaction: the current revision, the
/// index, and the sections that the last stored revision does not have.
///
/// @param call transaction; its conditions are the caller's
/// @param sync what is known to be stored
/// @param index index of the revision
/// @param documents sections of the revision
/// @param attempt identifies the write
void store_configuration(table_call &call, configuration_state const &sync,
                         configuration_index const &index,
                         section_documents const &documents,
                         std::string const &attempt);

} // namespace agateledge

#endif
