#ifndef AGATELEDGE_REQUEST_HEAD_HPP
#define AGATELEDGE_REQUEST_HEAD_HPP

#include <optional>
#include <string>

namespace agateledge
{

struct http_request;

/// @return request line and headers of an outgoing call, up to the empty line;
///         nothing when a part of them contains bytes that would end it early
std::optional<std::string> request_head_of(http_request const &request);

} // namespace agateledge

#endif
