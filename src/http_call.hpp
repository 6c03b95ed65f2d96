#ifndef AGATELEDGE_HTTP_CALL_HPP
#define AGATELEDGE_HTTP_CALL_HPP

#include "gobject_ptr.hpp"
#include "http_head.hpp"
#include "reply_parser.hpp"
#include "shared_text.hpp"
#include "time.hpp"

#include <gio/gio.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agateledge
{

class kept_connections;

/// Request of an outgoing HTTP call.
struct http_request
{
    std::string method = "GET";
    /// IP address and port.
    std::string address;
    /// Path with the query.
    std::string path;
    /// Added to the request, in place of default headers of the same names;
    /// names may repeat.
    header_list headers;
    /// Request body; null when the request has no body.
    shared_text body;
    /// Value of "Content-Type"; empty for none.
    std::string content_type = "application/json";
    /// Timeout of the connect; used when `total_timeout` is 0.
    duration connect_timeout = seconds(2);
    /// Timeout of the complete call; 0 for none.
    duration total_timeout{};
    /// Time after which a new connection is closed when the other host
    /// acknowledges nothing, whether data or keep-alive probes; 0 for the
    /// defaults of the system.
    duration unresponsive_timeout{};
    /// No byte is sent at or after this time on the daemon's clock, also not by
    /// the kernel; the connection of a call that fails is reset.
    instant not_after = instant::max();
    /// The call ends as one that was not sent if its connection is not
    /// established before this time on the daemon's clock.
    instant send_by = instant::max();
    /// Resets the connection when the call is cancelled or fails, so that bytes
    /// which the kernel has yet to deliver do not arrive later.
    bool reset_when_given_up = false;
    /// Uses a separate connection for this call, so that a late copy of an
    /// earlier reply cannot be taken for the reply to this one.
    bool new_connection = false;
};

/// How an outgoing HTTP call ended.
enum class http_outcome
{
    /// The reply was read to its end.
    answered,
    /// No connection was made, so that no byte was sent.
    failed_before_send,
    /// The call failed after bytes may have been sent.
    failed_after_send,
};

/// Handlers of an outgoing HTTP call; none runs after `http_call::cancel`.
struct http_call_handlers
{
    /// The connection is established; the first byte is sent next.
    std::function<void()> on_send;
    /// The reply's status and headers; before its body.
    std::function<void(int, header_list const &)> on_head;
    /// Part of the reply's body.
    std::function<void(std::string_view)> on_bytes;
    /// The call ended; runs once.
    std::function<void(http_outcome)> on_end;
};

/// One outgoing HTTP call whose reply is streamed to handlers. Reading can be
/// paused, so that TCP flow control slows the sender down.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    explicit http_call(http_call_handlers handlers);
    ~http_call();
    http_call(http_call const &) = delete;
    http_call &operator=(http_call const &) = delete;

    /// Sends the request.
    ///
    /// @param kept connections to reuse, and to give the connection to after
    ///        the reply; must outlive the call
    void start(kept_connections &kept, http_request const &request);

    /// Cancels the call; no handler runs after this.
    void cancel();

    /// Stops reading until `resume`; bytes already read are still delivered.
    void pause();

    void resume();

    /// @return why the reply did not end; `incomplete` for a failure of the
    ///         connection
    reply_progress progress() const { return parser_->progress(); }

private:
    struct callbacks;

    void start_timer(duration timeout);
    void stop_timer();
    void connect(GSocketAddress *address, duration unresponsive_timeout);
    void begin_exchange();
    void watch(GIOCondition condition, gsource_ptr &source);
    void handle_connected();
    void handle_writable();
    void handle_readable();
    void read_waiting_reply();
    bool may_read() const;
    /// @return false when the connection takes no more bytes for now
    bool send_some();
    bool sent_completely() const;
    void deliver(std::string_view bytes);
    bool may_send() const;
    void limit_retransmission();
    void reset_on_close();
    void close_connection();
    void finish(http_outcome outcome);
    void fail();

    http_call_handlers handlers_;
    std::unique_ptr<reply_parser> parser_;
    kept_connections *kept_ = nullptr;
    std::string address_;
    std::string head_;
    shared_text body_;
    /// Bytes of the head and the body that were sent.
    std::size_t sent_bytes_ = 0;
    /// The connection failed while the request was being sent. Reading may
    /// still end as if the server had closed it.
    bool send_failed_ = false;
    gobject_ptr<GSocket> socket_;
    gsource_ptr read_source_;
    gsource_ptr write_source_;
    unsigned timer_ = 0;
    instant not_after_ = instant::max();
    instant send_by_ = instant::max();
    bool has_own_connection_ = false;
    /// The connection was kept from an earlier call.
    bool reuses_connection_ = false;
    bool connected_ = false;
    bool has_total_timeout_ = false;
    bool resets_when_given_up_ = false;
    bool paused_ = false;
    bool ended_ = false;
};

} // namespace agateledge

#endif
