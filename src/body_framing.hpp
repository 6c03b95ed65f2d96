#ifndef AGATELEDGE_BODY_FRAMING_HPP
#define AGATELEDGE_BODY_FRAMING_HPP

#include <string_view>

namespace agateledge
{

/// What marks the end of the body of an HTTP message.
enum class body_framing
{
    /// The length that the head declares.
    length,
    /// The last chunk.
    chunked,
    /// The end of the connection.
    connection,
};

/// @return name for log fields
std::string_view name_of(body_framing framing);

} // namespace agateledge

#endif
