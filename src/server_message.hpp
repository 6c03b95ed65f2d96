#ifndef AGATELEDGE_SERVER_MESSAGE_HPP
#define AGATELEDGE_SERVER_MESSAGE_HPP

#include <libsoup/soup.h>

#include <cstdint>
#include <string>

namespace agateledge
{

/// @return total bytes of the names and values of the request headers
std::int64_t request_header_bytes(SoupServerMessage *message);

/// @return query of the request with its question mark, still escaped; empty
///         for none
std::string request_query(SoupServerMessage *message);

/// @return IP address of the client
std::string remote_host(SoupServerMessage *message);

/// @return true when the length of the request body was declared
bool has_declared_length(SoupServerMessage *message);

/// Discards the request body, both what was received and what follows.
void discard_request_body(SoupServerMessage *message);

/// Closes the connection after the answer, announced by "Connection: close".
void close_after_answer(SoupServerMessage *message);

} // namespace agateledge

#endif
