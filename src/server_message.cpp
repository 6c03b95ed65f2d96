#include "server_message.hpp"

#include <string_view>

namespace agateledge
{

std::int64_t request_header_bytes(SoupServerMessage *message)
{
    std::int64_t total = 0;
    soup_message_headers_foreach(
        soup_server_message_get_request_headers(message),
        [](char const *name, char const *value, gpointer sum)
        {
            *static_cast<std::int64_t *>(sum) += static_cast<std::int64_t>(
                std::string_view(name).size() + std::string_view(value).size());
        },
        &total);
    return total;
}

std::string request_query(SoupServerMessage *message)
{
    auto const *query = g_uri_get_query(soup_server_message_get_uri(message));
    return query == nullptr ? std::string() : "?" + std::string(query);
}

std::string remote_host(SoupServerMessage *message)
{
    auto const *host = soup_server_message_get_remote_host(message);
    return host == nullptr ? std::string() : std::string(host);
}

bool has_declared_length(SoupServerMessage *message)
{
    return soup_message_headers_get_encoding(
               soup_server_message_get_request_headers(message)) ==
           SOUP_ENCODING_CONTENT_LENGTH;
}

void discard_request_body(SoupServerMessage *message)
{
    auto *body = soup_server_message_get_request_body(message);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
}

void close_after_answer(SoupServerMessage *message)
{
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Connection",
        "close");
}

} // namespace agateledge
