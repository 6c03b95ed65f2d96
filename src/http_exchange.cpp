#include "http_exchange.hpp"

#include <utility>

namespace agateledge
{

http_exchange::http_exchange(SoupServerMessage *message, GHashTable *query,
                             std::string body)
    : message_(SOUP_SERVER_MESSAGE(g_object_ref(message))),
      query_(query == nullptr ? nullptr : g_hash_table_ref(query)),
      body_(std::move(body))
{
    finished_handler_ = g_signal_connect(
        message_, "finished", G_CALLBACK(&http_exchange::finished), this);
}

http_exchange::~http_exchange()
{
    g_signal_handler_disconnect(message_, finished_handler_);
    if (query_ != nullptr)
    {
        g_hash_table_unref(query_);
    }
    g_object_unref(message_);
}

void http_exchange::finished(SoupServerMessage * /*message*/, gpointer self)
{
    auto *exchange = static_cast<http_exchange *>(self);
    exchange->closed_ = true;
    if (auto const handler = std::exchange(exchange->closed_handler_, nullptr))
    {
        handler();
    }
}

std::string http_exchange::method() const
{
    return soup_server_message_get_method(message_);
}

std::string http_exchange::path() const
{
    return g_uri_get_path(soup_server_message_get_uri(message_));
}

std::string http_exchange::header(char const *name) const
{
    auto const *value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message_), name);
    return value == nullptr ? "" : value;
}

std::string http_exchange::query(char const *name) const
{
    auto const *value =
        query_ == nullptr
            ? nullptr
            : static_cast<char const *>(g_hash_table_lookup(query_, name));
    return value == nullptr ? "" : value;
}

void http_exchange::defer()
{
    deferred_ = true;
    soup_server_message_pause(message_);
}

void http_exchange::resume()
{
    if (std::exchange(deferred_, false))
    {
        soup_server_message_unpause(message_);
    }
}

void http_exchange::reply(int status, std::string_view body,
                          char const *content_type)
{
    if (closed_)
    {
        return;
    }
    soup_server_message_set_status(message_, static_cast<guint>(status),
                                   nullptr);
    soup_server_message_set_response(message_, content_type, SOUP_MEMORY_COPY,
                                     body.data(), body.size());
    resume();
}

void http_exchange::begin_events()
{
    soup_server_message_set_status(message_, SOUP_STATUS_OK, nullptr);
    auto *headers = soup_server_message_get_response_headers(message_);
    soup_message_headers_set_content_type(headers, "text/event-stream",
                                          nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(message_), FALSE);
    resume();
}

void http_exchange::write_event(std::string_view data)
{
    if (closed_)
    {
        return;
    }
    std::string text = "data: ";
    text.append(data);
    text.append("\n\n");
    soup_message_body_append(soup_server_message_get_response_body(message_),
                             SOUP_MEMORY_COPY, text.data(), text.size());
    soup_server_message_unpause(message_);
}

void http_exchange::end_events()
{
    if (closed_)
    {
        return;
    }
    soup_message_body_complete(soup_server_message_get_response_body(message_));
    soup_server_message_unpause(message_);
}

} // namespace agateledge
