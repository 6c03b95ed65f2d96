#ifndef AGATELEDGE_SOUP_HEADERS_HPP
#define AGATELEDGE_SOUP_HEADERS_HPP

#include "proxy_messages.hpp"

#include <libsoup/soup.h>

namespace agateledge
{

/// @return the headers in the order in which libsoup lists them
header_list headers_from(SoupMessageHeaders *headers);

/// Appends headers; existing ones stay.
void append_headers(SoupMessageHeaders *headers, header_list const &added);

} // namespace agateledge

#endif
