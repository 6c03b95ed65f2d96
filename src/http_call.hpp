#ifndef AGATELEDGE_HTTP_CALL_HPP
#define AGATELEDGE_HTTP_CALL_HPP

#include "gobject_ptr.hpp"
#include "inbox.hpp"
#include "time.hpp"

#include <libsoup/soup.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agateledge
{

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
    std::vector<std::pair<std::string, std::string>> headers;
    /// Request body; null when the request has no body.
    shared_text body;
    /// Value of "Content-Type"; empty for none.
    std::string content_type = "application/json";
    /// Timeout of the connect; used when `total_timeout` is 0.
    duration connect_timeout = seconds(2);
    /// Timeout of the complete call; 0 for none.
    duration total_timeout{};
    /// Uses a separate connection for this call. A failure before the connect
    /// then implies that no byte was sent, and a truncated reply can be told
    /// from a complete one.
    bool new_connection = false;
};

/// How an outgoing HTTP call ended.
enum class http_outcome
{
    /// The reply was read to its end. Truncation of a chunked reply on a
    /// reused connection is not detected.
    answered,
    /// No connection was made, so that no byte was sent.
    failed_before_send,
    /// The call failed after bytes may have been sent.
    failed_after_send,
};

/// Handlers of an outgoing HTTP call; none runs after `http_call::cancel`.
struct http_call_handlers
{
    /// The reply's status and headers; before its body.
    std::function<void(int, SoupMessageHeaders *)> on_head;
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
    void start(SoupSession *session, http_request const &request);

    /// Cancels the call; no handler runs after this.
    void cancel();

    /// Stops reading until `resume`; bytes already read are still delivered.
    void pause() { paused_ = true; }

    void resume();

    /// @return true when the call failed because the connection was closed
    ///         before the end of the reply's body
    bool truncated() const { return truncated_; }

private:
    struct callbacks;

    static constexpr std::size_t read_buffer_bytes = std::size_t{8} * 1024;

    void start_timer(duration timeout);
    void stop_timer();
    void handle_headers(GInputStream *stream);
    void read_next();
    void handle_read(gssize count);
    void deliver(std::string_view bytes);
    /// Closes the call's own connection if the body is chunked.
    ///
    /// @return true when the end of the body is the declared one
    bool is_complete();
    bool has_last_chunk();
    void close_connection();
    void finish(http_outcome outcome);
    void fail();

    http_call_handlers handlers_;
    gobject_ptr<GCancellable> cancellable_;
    gobject_ptr<SoupMessage> message_;
    gobject_ptr<GInputStream> stream_;
    /// Socket of the call's own connection; null when connections are reused.
    gobject_ptr<GSocket> socket_;
    /// Bytes of the reply body read so far.
    goffset body_bytes_ = 0;
    std::array<char, read_buffer_bytes> buffer_{};
    unsigned timer_ = 0;
    bool connected_ = false;
    bool has_total_timeout_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool truncated_ = false;
    bool ended_ = false;
};

} // namespace agateledge

#endif
