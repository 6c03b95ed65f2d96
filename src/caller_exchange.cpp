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

void caller_exchange::await_answer(answer_format format)
{
    format_ = std::move(format);
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
    if (answered_)
    {
        return;
    }
    if (streaming_)
    {
        write(error_event(code, message));
        answered_ = true;
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
        if (format_.writer)
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
    if (!format_.writer)
    {
        return;
    }
    format_.writer->set_id(id);
    if (!format_.stream)
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
        output_tokens_ = offset;
    }
    write(format_.writer->first_event(output_tokens_));
}

void caller_exchange::write(std::string_view text)
{
    pending_events_ += text;
    buffered_bytes_ += static_cast<std::int64_t>(text.size());
}

void caller_exchange::flush()
{
    if (!streaming_)
    {
        return;
    }
    auto *body = soup_server_message_get_response_body(message());
    if (!pending_events_.empty())
    {
        soup_message_body_append(body, SOUP_MEMORY_COPY, pending_events_.data(),
                                 pending_events_.size());
        pending_events_.clear();
    }
    if (answered_)
    {
        soup_message_body_complete(body);
    }
    soup_server_message_unpause(message());
}

void caller_exchange::write_chunk(caller_reply const &reply)
{
    output_tokens_ = reply.offset + reply.tokens;
    if (!format_.writer)
    {
        return;
    }
    if (!streaming_)
    {
        collected_text_ += reply.text;
        return;
    }
    write(format_.writer->chunk_event(reply.text, output_tokens_));
}

void caller_exchange::finish_completion(caller_reply const &reply)
{
    output_tokens_ = reply.offset;
    auto const &writer = *format_.writer;
    bool const reached_limit = output_tokens_ >= format_.max_output_tokens;
    auto const *reason = reached_limit ? "length" : "stop";
    if (!streaming_)
    {
        auto *headers = soup_server_message_get_response_headers(message());
        soup_message_headers_replace(headers, id_header, writer.id().c_str());
        answer(http_ok, json_type,
               writer.document(collected_text_, reason, format_.prompt_tokens,
                               output_tokens_));
        return;
    }
    write(writer.end_event(reason, output_tokens_));
    if (format_.include_usage)
    {
        write(writer.usage_event(format_.prompt_tokens, output_tokens_));
    }
    write(done_event);
    answered_ = true;
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
    buffered_bytes_ += static_cast<std::int64_t>(body.size());
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

void caller_exchange::record_written(std::int64_t bytes)
{
    buffered_bytes_ -= bytes;
}

} // namespace agateledge
