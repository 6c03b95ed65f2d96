#include "http_call.hpp"

#include "daemon_loop.hpp"
#include "kept_connections.hpp"
#include "request_head.hpp"
#include "socket_address.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace agateledge
{

namespace
{

/// Time without data after which a connection counts as broken.
constexpr guint io_timeout_seconds = 120;

/// Maximum number of bytes parsed in one dispatch, so that other sources of the
/// main loop run between two reads of a connection.
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

/// Maximum number of reads of a reply that has arrived by the time at which its
/// call times out; a late main loop has not read it yet.
constexpr int max_reads_at_timeout = 16;

/// @return a non-blocking socket for a connection to `address`
gobject_ptr<GSocket> make_socket(GSocketAddress *address)
{
    gobject_ptr<GSocket> socket(
        g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, nullptr));
    if (socket)
    {
        g_socket_set_blocking(socket.get(), FALSE);
        g_socket_set_timeout(socket.get(), io_timeout_seconds);
        g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    }
    return socket;
}

/// Closes the connection when the other host has acknowledged nothing for
/// `timeout`. Options that the system refuses leave its defaults in force: the
/// timeout of the call still ends it.
void set_unresponsive_timeout(GSocket *socket, duration timeout)
{
    auto const total = std::chrono::ceil<milliseconds>(timeout).count();
    g_socket_set_keepalive(socket, TRUE);
    // The first probe goes out after a second without data, the next ones each
    // second; TCP_USER_TIMEOUT replaces the number of probes.
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, 1, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                        static_cast<gint>(total), nullptr);
}

bool must_wait(GError const *error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
           g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
}

} // namespace

struct http_call::callbacks
{
    static gboolean writable(GSocket *, GIOCondition, gpointer data)
    {
        auto const call = static_cast<http_call *>(data)->shared_from_this();
        if (call->connected_)
        {
            call->handle_writable();
        }
        else
        {
            call->handle_connected();
        }
        return G_SOURCE_CONTINUE;
    }

    static gboolean readable(GSocket *, GIOCondition, gpointer data)
    {
        static_cast<http_call *>(data)->shared_from_this()->handle_readable();
        return G_SOURCE_CONTINUE;
    }

    static gboolean timed_out(gpointer data)
    {
        auto const call = static_cast<http_call *>(data)->shared_from_this();
        call->timer_ = 0;
        call->read_waiting_reply();
        if (call->ended_)
        {
            return G_SOURCE_REMOVE;
        }
        if (call->reuses_connection_)
        {
            // The other connections may have gone silent with this one.
            call->kept_->drop(call->address_);
        }
        call->fail();
        return G_SOURCE_REMOVE;
    }
};

http_call::http_call(http_call_handlers handlers)
    : handlers_(std::move(handlers))
{
}

http_call::~http_call()
{
    stop_timer();
}

void http_call::start(kept_connections &kept, http_request const &request)
{
    kept_ = &kept;
    address_ = request.address;
    body_ = request.body;
    not_after_ = request.not_after;
    send_by_ = request.send_by;
    resets_when_given_up_ =
        request.reset_when_given_up || request.not_after != instant::max();
    has_own_connection_ = request.new_connection;
    has_total_timeout_ = request.total_timeout.count() > 0;
    parser_ = std::make_unique<reply_parser>(
        request.method,
        reply_parser::hooks{[this](int status, header_list const &headers)
                            {
                                if (handlers_.on_head)
                                {
                                    handlers_.on_head(status, headers);
                                }
                            },
                            [this](std::string_view bytes)
                            { deliver(bytes); }});
    auto head = request_head_of(request);
    auto const address = parse_socket_address(request.address);
    if (!head || !address)
    {
        // The handlers do not run before this function returns.
        start_timer(duration(0));
        return;
    }
    head_ = *std::move(head);
    start_timer(has_total_timeout_ ? request.total_timeout
                                   : request.connect_timeout);
    if (!has_own_connection_)
    {
        socket_ = kept.take(address_);
        reuses_connection_ = socket_ != nullptr;
    }
    if (socket_)
    {
        begin_exchange();
        return;
    }
    connect(address.get(), request.unresponsive_timeout);
}

void http_call::connect(GSocketAddress *address, duration unresponsive_timeout)
{
    socket_ = make_socket(address);
    if (socket_ && unresponsive_timeout.count() > 0)
    {
        set_unresponsive_timeout(socket_.get(), unresponsive_timeout);
    }
    GError *error = nullptr;
    bool const connected =
        socket_ &&
        g_socket_connect(socket_.get(), address, nullptr, &error) != FALSE;
    gerror_ptr const failure(error);
    if (connected)
    {
        begin_exchange();
    }
    else if (socket_ && must_wait(failure.get()))
    {
        watch(G_IO_OUT, write_source_);
    }
    else
    {
        stop_timer();
        start_timer(duration(0));
    }
}

void http_call::watch(GIOCondition condition, gsource_ptr &source)
{
    source.reset(g_socket_create_source(socket_.get(), condition, nullptr));
    auto const callback =
        condition == G_IO_OUT ? callbacks::writable : callbacks::readable;
    g_source_set_callback(source.get(), G_SOURCE_FUNC(callback), this, nullptr);
    g_source_attach(source.get(), nullptr);
}

void http_call::handle_connected()
{
    if (g_socket_check_connect_result(socket_.get(), nullptr) == FALSE)
    {
        fail();
        return;
    }
    write_source_.reset();
    begin_exchange();
}

void http_call::begin_exchange()
{
    if (!may_send() || daemon_loop::clock_now() >= send_by_)
    {
        // `connected_` is false, so the call ends as one that was not sent. Its
        // handlers do not run in here, because `start` may have called this.
        close_connection();
        stop_timer();
        start_timer(duration(0));
        return;
    }
    limit_retransmission();
    connected_ = true;
    if (handlers_.on_send)
    {
        handlers_.on_send();
    }
    if (!has_total_timeout_)
    {
        stop_timer();
    }
    if (!send_some())
    {
        watch(G_IO_OUT, write_source_);
    }
    if (!paused_)
    {
        watch(G_IO_IN, read_source_);
    }
}

bool http_call::may_send() const
{
    return not_after_ == instant::max() ||
           daemon_loop::clock_now() < not_after_;
}

void http_call::limit_retransmission()
{
    if (not_after_ == instant::max())
    {
        return;
    }
    // Otherwise the kernel would send the bytes once a partition ends, also
    // while this process is suspended and its own timer does not run.
    auto const left = std::chrono::duration_cast<milliseconds>(
        not_after_ - daemon_loop::clock_now());
    auto const limit = std::max<std::int64_t>(left.count(), 1);
    g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                        static_cast<gint>(limit), nullptr);
}

void http_call::reset_on_close()
{
    if (!socket_ || !resets_when_given_up_)
    {
        return;
    }
    linger const reset{1, 0};
    setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &reset,
               sizeof reset);
}

bool http_call::sent_completely() const
{
    return sent_bytes_ == head_.size() + (body_ ? body_->size() : 0);
}

bool http_call::send_some()
{
    auto const head_left = head_.size() - std::min(sent_bytes_, head_.size());
    auto const body_size = body_ ? body_->size() : 0;
    auto const body_left =
        std::min(head_.size() + body_size - sent_bytes_, body_size);
    std::array<GOutputVector, 2> parts{
        {{head_.data() + (head_.size() - head_left), head_left},
         {body_left == 0 ? nullptr : body_->data() + (body_size - body_left),
          body_left}}};
    GError *error = nullptr;
    auto const count = g_socket_send_message(
        socket_.get(), nullptr, parts.data(), body_left == 0 ? 1 : 2, nullptr,
        0, G_SOCKET_MSG_NONE, nullptr, &error);
    gerror_ptr const failure(error);
    if (count < 0)
    {
        // A server may answer and close before it has read the request, so the
        // reply decides how the call ends.
        send_failed_ = !must_wait(failure.get());
        return send_failed_;
    }
    sent_bytes_ += static_cast<std::size_t>(count);
    return sent_completely();
}

void http_call::handle_writable()
{
    if (!may_send())
    {
        fail();
        return;
    }
    if (send_some())
    {
        write_source_.reset();
    }
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
    reset_on_close();
    close_connection();
}

void http_call::pause()
{
    paused_ = true;
    read_source_.reset();
}

void http_call::resume()
{
    paused_ = false;
    if (connected_ && !ended_ && !read_source_)
    {
        watch(G_IO_IN, read_source_);
    }
}

void http_call::handle_readable()
{
    std::array<char, read_buffer_bytes> buffer;
    GError *error = nullptr;
    auto const count = g_socket_receive(socket_.get(), buffer.data(),
                                        buffer.size(), nullptr, &error);
    gerror_ptr const failure(error);
    if (count < 0)
    {
        if (!must_wait(failure.get()))
        {
            fail();
        }
        return;
    }
    if (count == 0 && (send_failed_ || !sent_completely()))
    {
        // The server has reset the connection, or has closed it before it had
        // the request; a reply that ends with its connection may be a part.
        parser_->connection_failed();
        fail();
        return;
    }
    auto const progress =
        count == 0
            ? parser_->end_of_input()
            : parser_->add({buffer.data(), static_cast<std::size_t>(count)});
    if (progress == reply_progress::complete)
    {
        finish(http_outcome::answered);
    }
    else if (progress != reply_progress::incomplete)
    {
        fail();
    }
}

void http_call::read_waiting_reply()
{
    for (int reads = 0; reads < max_reads_at_timeout && may_read(); ++reads)
    {
        handle_readable();
    }
}

bool http_call::may_read() const
{
    return connected_ && !paused_ && !ended_ &&
           (g_socket_condition_check(socket_.get(), G_IO_IN) & G_IO_IN) != 0;
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

void http_call::close_connection()
{
    read_source_.reset();
    write_source_.reset();
    socket_.reset();
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
    ended_ = true;
    stop_timer();
    read_source_.reset();
    write_source_.reset();
    if (outcome == http_outcome::answered && !has_own_connection_ &&
        sent_completely() && parser_->connection_is_reusable())
    {
        kept_->keep(address_, std::move(socket_));
    }
    if (outcome != http_outcome::answered)
    {
        reset_on_close();
    }
    close_connection();
    auto const on_end = std::move(handlers_.on_end);
    // The handlers may hold references that keep this call alive.
    handlers_ = {};
    if (on_end)
    {
        on_end(outcome);
    }
}

} // namespace agateledge
