#ifndef AGATELEDGE_SERVER_MESSAGE_HPP
#define AGATELEDGE_SERVER_MESSAGE_HPP

#include <libsoup/soup.h>

#include <cstdint>
#include <string>

namespace agateledge
{

/// @return bytes of the names and values of the request's headers
std::int64_t request_header_bytes(SoupServerMessage *message);

/// @return the query of the request with its question mark, as sent; empty for
///         none
std::string request_query(SoupServerMessage *message);

/// @return the body of the request, which has arrived whole
std::string request_body(SoupServerMessage *message);

/// Drops what arrives of the request's body from now on.
void drop_request_body(SoupServerMessage *message);

/// Closes the connection after the answer, and tells the caller so.
void close_after_answer(SoupServerMessage *message);

} // namespace agateledge

#endif
