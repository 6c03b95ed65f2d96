#include "soup_headers.hpp"

#include <algorithm>

namespace agateledge
{

header_list headers_from(SoupMessageHeaders *headers)
{
    header_list out;
    soup_message_headers_foreach(
        headers,
        [](char const *name, char const *value, gpointer list)
        { static_cast<header_list *>(list)->emplace_back(name, value); },
        &out);
    return out;
}

void append_headers(SoupMessageHeaders *headers, header_list const &added)
{
    std::ranges::for_each(added,
                          [headers](auto const &header)
                          {
                              soup_message_headers_append(
                                  headers, header.first.c_str(),
                                  header.second.c_str());
                          });
}

} // namespace agateledge
