#ifndef AGATELEDGE_HTTP_CLIENT_HPP
#define AGATELEDGE_HTTP_CLIENT_HPP

#include "http_call.hpp"
#include "kept_connections.hpp"
#include "memory_limits.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace agateledge
{

/// Collected reply of an outgoing HTTP call.
struct http_reply
{
    http_outcome outcome = http_outcome::answered;
    int status = 0;
    header_list headers;
    std::string body;

    /// @return the status of a complete reply; 0 when there is none
    int answered_status() const
    {
        return outcome == http_outcome::answered ? status : 0;
    }
};

/// Whether the calls of a client reuse connections.
enum class connection_reuse
{
    /// Connections are kept open for further calls.
    keep_alive,
    /// Each call has a connection of its own.
    single_call,
};

/// Outgoing HTTP calls of one daemon.
class http_client
{
public:
    /// @param reuse whether connections are reused; calls can opt out by
    ///        `http_request::new_connection`
    /// @param max_collected_bytes limit of all replies that are collected at
    ///        the same time
    explicit http_client(
        connection_reuse reuse = connection_reuse::keep_alive,
        std::size_t max_collected_bytes = memory_limits().reply_bytes());
    ~http_client();
    http_client(http_client const &) = delete;
    http_client &operator=(http_client const &) = delete;

    /// Starts a call whose reply is streamed to the handlers.
    std::shared_ptr<http_call> open(http_request const &request,
                                    http_call_handlers handlers);

    /// Cancels a call of `open`; none of its handlers runs after this.
    void cancel(std::shared_ptr<http_call> const &call);

    /// Starts a call and collects its reply. A reply longer than
    /// `max_reply_bytes`, or chosen because all replies together take too much
    /// memory, ends with `failed_after_send`, and its connection is closed.
    ///
    /// @param on_reply runs once, unless the client is destroyed first
    void send(http_request const &request,
              std::function<void(http_reply const &)> on_reply);

    static constexpr std::size_t max_reply_bytes = std::size_t{16} << 20;

private:
    struct collected_reply;
    using collected_ptr = std::shared_ptr<collected_reply>;

    void collect(collected_ptr const &item, std::string_view bytes);
    void drop(collected_ptr const &item);
    void drop_over_limit();
    void end(collected_ptr const &item, http_outcome outcome);

    connection_reuse reuse_;
    std::size_t max_collected_bytes_;
    std::size_t collected_bytes_ = 0;
    kept_connections kept_;
    std::unordered_set<collected_ptr> collected_;
    std::unordered_set<std::shared_ptr<http_call>> open_calls_;
};

} // namespace agateledge

#endif
