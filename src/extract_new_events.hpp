#ifndef AGATELEDGE_EXTRACT_NEW_EVENTS_HPP
#define AGATELEDGE_EXTRACT_NEW_EVENTS_HPP

#include <string>

namespace agateledge
{

/// Complete events from the front of a buffer.
struct event_batch
{
    /// Unchanged text of the new events.
    std::string text;
    /// The event that follows the text has no number, so that it cannot be
    /// shown to continue the stream.
    bool unnumbered = false;
};

/// Removes the complete server-sent events from the front of a buffer. Events
/// whose numeric id is not greater than the last one are dropped, so that a
/// resumed stream does not repeat events.
///
/// @param buffer received bytes; an incomplete event stays in it
/// @param last_id id of the last event that was returned; updated
/// @param continued the buffer continues the stream of an earlier call; events
///        from the first one without a number on stay in it
/// @return the new events
event_batch extract_new_events(std::string &buffer, std::string &last_id,
                               bool continued);

} // namespace agateledge

#endif
