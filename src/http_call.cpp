#include "http_call.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

using call_ref = std::shared_ptr<http_call>;

call_ref adopt_ref(gpointer data)
{
    std::unique_ptr<call_ref> const holder(static_cast<call_ref *>(data));
    return *holder;
}

void set_body(SoupMessage *message, shared_text const &body,
              std::string const &content_type)
{
    if (!body)
    {
        return;
    }
    auto *owner = new shared_text(body);
    GBytes *bytes = g_bytes_new_with_free_func(
        body->data(), body->size(),
        [](gpointer data) { delete static_cast<shared_text *>(data); }, owner);
    soup_message_set_request_body_from_bytes(
        message, content_type.empty() ? nullptr : content_type.c_str(), bytes);
    g_bytes_unref(bytes);
}

SoupMessage *make_message(http_request const &request)
{
    auto const url = "http://" + request.address + request.path;
    auto *message = soup_message_new(request.method.c_str(), url.c_str());
    if (message == nullptr)
    {
        return nullptr;
    }
    auto *headers = soup_message_get_request_headers(message);
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    if (request.new_connection)
    {
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    }
    else
    {
        // Without this flag libsoup opens a new connection for each POST and
        // does not reuse it. The flag also permits resending, which
        // `callbacks::connected` prevents.
        soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    }
    for (auto const &[name, value] : request.headers)
    {
        soup_message_headers_remove(headers, name.c_str());
    }
    for (auto const &[name, value] : request.headers)
    {
        soup_message_headers_append(headers, name.c_str(), value.c_str());
    }
    set_body(message, request.body, request.content_type);
    return message;
}

/// @return true for a reply whose headers describe a body that is not sent
bool has_no_body(SoupMessage *message)
{
    auto const status = soup_message_get_status(message);
    return std::string_view(soup_message_get_method(message)) == "HEAD" ||
           status == SOUP_STATUS_NO_CONTENT ||
           status == SOUP_STATUS_NOT_MODIFIED;
}

} // namespace

struct http_call::callbacks
{
    static void connected(SoupMessage *, gpointer data)
    {
        auto *call = static_cast<http_call *>(data);
        if (std::exchange(call->connected_, true))
        {
            // libsoup is about to resend the request after the connection
            // broke; the first one may have been executed.
            call->fail();
            return;
        }
        if (!call->has_total_timeout_)
        {
            call->stop_timer();
        }
    }

    static void network_event(SoupMessage *, GSocketClientEvent event,
                              GIOStream *stream, gpointer data)
    {
        if (event == G_SOCKET_CLIENT_CONNECTED &&
            G_IS_SOCKET_CONNECTION(stream))
        {
            auto *call = static_cast<http_call *>(data);
            call->socket_ = gobject_share(
                g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)));
        }
    }

    static void sent(GObject *session, GAsyncResult *result, gpointer data)
    {
        auto const call = adopt_ref(data);
        GError *error = nullptr;
        auto *stream =
            soup_session_send_finish(SOUP_SESSION(session), result, &error);
        gerror_ptr const failure(error);
        if (stream != nullptr)
        {
            call->handle_headers(stream);
            return;
        }
        call->fail();
    }

    static void read(GObject *stream, GAsyncResult *result, gpointer data)
    {
        auto const call = adopt_ref(data);
        GError *error = nullptr;
        auto const count =
            g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &error);
        gerror_ptr const failure(error);
        call->reading_ = false;
        call->handle_read(count);
    }

    static gboolean timed_out(gpointer data)
    {
        auto const call = static_cast<http_call *>(data)->shared_from_this();
        call->timer_ = 0;
        call->fail();
        return G_SOURCE_REMOVE;
    }
};

http_call::http_call(http_call_handlers handlers)
    : handlers_(std::move(handlers)), cancellable_(g_cancellable_new())
{
}

http_call::~http_call()
{
    stop_timer();
    if (message_)
    {
        g_signal_handlers_disconnect_by_data(message_.get(), this);
    }
}

void http_call::start(SoupSession *session, http_request const &request)
{
    message_.reset(make_message(request));
    if (!message_)
    {
        start_timer(duration(0));
        return;
    }
    g_signal_connect(message_.get(), "starting",
                     G_CALLBACK(callbacks::connected), this);
    g_signal_connect(message_.get(), "restarted",
                     G_CALLBACK(callbacks::connected), this);
    has_own_connection_ = request.new_connection;
    if (has_own_connection_)
    {
        g_signal_connect(message_.get(), "network-event",
                         G_CALLBACK(callbacks::network_event), this);
    }
    has_total_timeout_ = request.total_timeout.count() > 0;
    start_timer(has_total_timeout_ ? request.total_timeout
                                   : request.connect_timeout);
    soup_session_send_async(session, message_.get(), G_PRIORITY_DEFAULT,
                            cancellable_.get(), callbacks::sent,
                            new call_ref(shared_from_this()));
}

void http_call::start_timer(duration timeout)
{
    auto const delay = std::chrono::ceil<milliseconds>(timeout).count();
    timer_ =
        g_timeout_add(static_cast<guint>(delay), callbacks::timed_out, this);
}

void http_call::stop_timer()
{
    if (timer_ != 0)
    {
        g_source_remove(std::exchange(timer_, 0));
    }
}

void http_call::cancel()
{
    ended_ = true;
    handlers_ = {};
    stop_timer();
    g_cancellable_cancel(cancellable_.get());
    if (!reading_)
    {
        stream_.reset();
    }
    close_connection();
}

void http_call::resume()
{
    paused_ = false;
    read_next();
}

void http_call::handle_headers(GInputStream *stream)
{
    stream_.reset(stream);
    if (ended_)
    {
        stream_.reset();
        return;
    }
    if (handlers_.on_head)
    {
        handlers_.on_head(
            static_cast<int>(soup_message_get_status(message_.get())),
            soup_message_get_response_headers(message_.get()));
    }
    read_next();
}

void http_call::read_next()
{
    if (paused_ || reading_ || ended_ || !stream_)
    {
        return;
    }
    reading_ = true;
    g_input_stream_read_async(
        stream_.get(), buffer_.data(), buffer_.size(), G_PRIORITY_DEFAULT,
        cancellable_.get(), callbacks::read, new call_ref(shared_from_this()));
}

void http_call::handle_read(gssize count)
{
    if (ended_)
    {
        stream_.reset();
        return;
    }
    if (count < 0)
    {
        fail();
        return;
    }
    if (count == 0)
    {
        truncated_ = !is_complete();
        finish(truncated_ ? http_outcome::failed_after_send
                          : http_outcome::answered);
        return;
    }
    body_bytes_ += count;
    deliver({buffer_.data(), static_cast<std::size_t>(count)});
    read_next();
}

void http_call::deliver(std::string_view bytes)
{
    if (!handlers_.on_bytes)
    {
        return;
    }
    // The handler may cancel the call, which clears `handlers_`.
    auto on_bytes = std::move(handlers_.on_bytes);
    on_bytes(bytes);
    if (!ended_)
    {
        handlers_.on_bytes = std::move(on_bytes);
    }
}

bool http_call::is_complete()
{
    if (has_no_body(message_.get()))
    {
        return true;
    }
    // libsoup also reports a normal end of the body when the connection closes
    // within a body of known length or between two chunks.
    auto *headers = soup_message_get_response_headers(message_.get());
    switch (soup_message_headers_get_encoding(headers))
    {
    case SOUP_ENCODING_CONTENT_LENGTH:
        return body_bytes_ == soup_message_headers_get_content_length(headers);
    case SOUP_ENCODING_CHUNKED:
        return !has_own_connection_ || (socket_ && has_last_chunk());
    default:
        // libsoup also takes a head for whole that was cut between two lines.
        return body_bytes_ > 0;
    }
}

bool http_call::has_last_chunk()
{
    // After the last chunk, libsoup ends each read without the connection.
    // Before it, a read needs the connection and fails when that is closed.
    g_socket_close(socket_.get(), nullptr);
    return g_input_stream_read(stream_.get(), buffer_.data(), buffer_.size(),
                               nullptr, nullptr) == 0;
}

void http_call::close_connection()
{
    if (socket_)
    {
        g_socket_shutdown(socket_.get(), TRUE, TRUE, nullptr);
        socket_.reset();
    }
}

void http_call::fail()
{
    finish(connected_ ? http_outcome::failed_after_send
                      : http_outcome::failed_before_send);
}

void http_call::finish(http_outcome outcome)
{
    if (ended_)
    {
        return;
    }
    auto const on_end = std::move(handlers_.on_end);
    // The handlers may hold references that keep this call alive.
    handlers_ = {};
    bool const complete = outcome == http_outcome::answered;
    ended_ = true;
    stop_timer();
    if (complete)
    {
        stream_.reset();
        close_connection();
    }
    else
    {
        cancel();
    }
    if (on_end)
    {
        on_end(outcome);
    }
}

} // namespace agateledge
