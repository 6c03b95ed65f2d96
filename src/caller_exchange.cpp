#include "caller_exchange.hpp"

#include <utility>

namespace agateledge
{

namespace
{

constexpr char const *json_type = "application/json";
constexpr char const *event_type = "text/event-stream";
constexpr int http_ok = 200;
constexpr char const *id_header = "Agateledge-Request-Id";

} // namespace

caller_exchange::caller_exchange(SoupServerMessage *message)
    : message_(gobject_share(message))
{
}

void caller_exchange::await_answer(answer_shape shape)
{
    shape_ = std::move(shape);
    paused_ = true;
    soup_server_message_pause(message());
}

void caller_exchange::refuse(result_code code, std::string_view message)
{
    refuse_with_status(http_status(code), code, message);
}

void caller_exchange::refuse_with_status(int status, result_code code,
                                         std::string_view message)
{
    if (streaming_)
    {
        write(error_event(code, message));
        complete();
        return;
    }
    answer(status, json_type, error_document(code, message));
}

void caller_exchange::reply(caller_reply const &reply, std::string const &id)
{
    switch (reply.kind)
    {
    case caller_reply_kind::accepted:
        begin_stream(id, reply.offset);
        return;
    case caller_reply_kind::chunk:
        write_chunk(reply);
        return;
    case caller_reply_kind::finished:
        if (shape_.writer)
        {
            finish_completion(reply);
            return;
        }
        finish_service(reply);
        return;
    case caller_reply_kind::refused:
        refuse(reply.code, reply.message);
        return;
    }
}

void caller_exchange::begin_stream(std::string const &id, int offset)
{
    if (!shape_.writer)
    {
        return;
    }
    shape_.writer->set_id(id);
    if (!shape_.stream)
    {
        return;
    }
    if (!std::exchange(streaming_, true))
    {
        auto *headers = soup_server_message_get_response_headers(message());
        soup_server_message_set_status(message(), http_ok, nullptr);
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
        soup_message_headers_set_content_type(headers, event_type, nullptr);
        soup_message_headers_replace(headers, "Cache-Control", "no-store");
        soup_message_headers_replace(headers, id_header, id.c_str());
        soup_message_body_set_accumulate(
            soup_server_message_get_response_body(message()), FALSE);
        tokens_ = offset;
    }
    write(shape_.writer->first_event(tokens_));
}

void caller_exchange::write(std::string_view text)
{
    auto *body = soup_server_message_get_response_body(message());
    soup_message_body_append(body, SOUP_MEMORY_COPY, text.data(), text.size());
    buffered_ += static_cast<std::int64_t>(text.size());
    soup_server_message_unpause(message());
}

void caller_exchange::write_chunk(caller_reply const &reply)
{
    tokens_ = reply.offset + reply.tokens;
    if (!shape_.writer)
    {
        return;
    }
    if (!streaming_)
    {
        text_ += reply.text;
        return;
    }
    write(shape_.writer->chunk_event(reply.text, tokens_));
}

void caller_exchange::finish_completion(caller_reply const &reply)
{
    tokens_ = reply.offset;
    auto const &writer = *shape_.writer;
    bool const cut = tokens_ >= shape_.max_output_tokens;
    auto const *reason = cut ? "length" : "stop";
    if (!streaming_)
    {
        auto *headers = soup_server_message_get_response_headers(message());
        soup_message_headers_replace(headers, id_header, writer.id().c_str());
        answer(http_ok, json_type,
               writer.document(text_, reason, shape_.prompt_tokens, tokens_));
        return;
    }
    write(writer.end_event(reason, tokens_));
    if (shape_.include_usage)
    {
        write(writer.usage_event(shape_.prompt_tokens, tokens_));
    }
    write(done_event);
    complete();
}

void caller_exchange::finish_service(caller_reply const &reply)
{
    answer(reply.http_status, json_type, reply.text);
}

void caller_exchange::answer(int status, std::string_view type,
                             std::string_view body)
{
    if (answered_)
    {
        return;
    }
    answered_ = true;
    buffered_ += static_cast<std::int64_t>(body.size());
    soup_server_message_set_status(message(), static_cast<guint>(status),
                                   nullptr);
    soup_server_message_set_response(message(), std::string(type).c_str(),
                                     SOUP_MEMORY_COPY, body.data(),
                                     body.size());
    if (std::exchange(paused_, false))
    {
        soup_server_message_unpause(message());
    }
}

void caller_exchange::complete()
{
    answered_ = true;
    soup_message_body_complete(
        soup_server_message_get_response_body(message()));
    soup_server_message_unpause(message());
}

void caller_exchange::wrote(std::int64_t bytes)
{
    buffered_ -= bytes;
}

} // namespace agateledge
