#ifndef AGATELEDGE_EVENT_TEXT_HPP
#define AGATELEDGE_EVENT_TEXT_HPP

#include <string>

namespace agateledge
{

/// Takes the whole server-sent events from the begin of a buffer, unchanged,
/// and leaves the rest. Events whose numeric id is not after the last one are
/// dropped, so that a resumed stream repeats none.
///
/// @param buffer text that was received and not yet taken
/// @param last_id id of the last event that was taken; updated
/// @return text of the new events
std::string take_new_events(std::string &buffer, std::string &last_id);

} // namespace agateledge

#endif
