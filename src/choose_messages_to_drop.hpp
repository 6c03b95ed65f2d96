#ifndef AGATELEDGE_CHOOSE_MESSAGES_TO_DROP_HPP
#define AGATELEDGE_CHOOSE_MESSAGES_TO_DROP_HPP

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace agateledge
{

/// Memory taken by one message that is kept until it is complete.
struct held_message
{
    /// Peer that sends the message.
    std::string sender;
    std::size_t bytes = 0;
    /// The sender has declared the length of the message.
    bool has_length = false;
    /// Nothing of the message has arrived for some time.
    bool stalled = false;
    /// Nothing of the message has arrived for a moment.
    bool idle = false;

    auto operator<=>(held_message const &) const = default;
};

/// Chooses the messages to give up so that the others fit into a limit.
/// Stalled messages go first, because they may never end; then idle ones, so
/// that a message that makes progress is not given up for one that makes none.
/// Of these and of the others, messages without a declared length go first,
/// because they may be endless. Each choice is the largest message of the
/// sender whose messages take the most memory, so that a faulty sender does not
/// displace messages of others.
///
/// @param messages all messages that are kept
/// @param limit maximum number of bytes of the messages that stay
/// @return indices into `messages`, in the order of the choices
std::vector<std::size_t>
choose_messages_to_drop(std::vector<held_message> const &messages,
                        std::size_t limit);

} // namespace agateledge

#endif
