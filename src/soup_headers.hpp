#ifndef AGATELEDGE_SOUP_HEADERS_HPP
#define AGATELEDGE_SOUP_HEADERS_HPP

#include "relay_messages.hpp"

#include <libsoup/soup.h>

namespace agateledge
{

/// @return the headers in their order
header_list headers_from(SoupMessageHeaders *headers);

/// Appends headers to those that are there.
void append_headers(SoupMessageHeaders *headers, header_list const &added);

} // namespace agateledge

#endif
