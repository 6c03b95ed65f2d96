#ifndef AGATELEDGE_EXTRACT_NEW_EVENTS_HPP
#define AGATELEDGE_EXTRACT_NEW_EVENTS_HPP

#include <string>

namespace agateledge
{

/// Removes the complete server-sent events from the front of a buffer. Events
/// whose numeric id is not greater than the last one are dropped, so that a
/// resumed stream does not repeat events.
///
/// @param buffer received bytes; an incomplete event stays in it
/// @param last_id id of the last event that was returned; updated
/// @return unchanged text of the new events
std::string extract_new_events(std::string &buffer, std::string &last_id);

} // namespace agateledge

#endif
