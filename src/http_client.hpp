#ifndef AGATELEDGE_HTTP_CLIENT_HPP
#define AGATELEDGE_HTTP_CLIENT_HPP

#include "gobject_ptr.hpp"
#include "http_call.hpp"

#include <libsoup/soup.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Whole reply of an outgoing HTTP call.
struct http_reply
{
    http_outcome outcome = http_outcome::answered;
    int status = 0;
    std::string body;

    /// @return the status of a whole reply; 0 when there is none
    int answered_status() const
    {
        return outcome == http_outcome::answered ? status : 0;
    }
};

/// Whether the calls of a client use connections again.
enum class connection_use
{
    /// Connections are kept open for further calls.
    kept,
    /// Each call has a connection of its own.
    single_call,
};

/// Outgoing HTTP calls of one daemon.
class http_client
{
public:
    /// @param use whether connections are used again; calls over single
    ///        connections must set `http_request::new_connection`
    explicit http_client(connection_use use = connection_use::kept);
    ~http_client();
    http_client(http_client const &) = delete;
    http_client &operator=(http_client const &) = delete;

    /// Starts a call whose reply is read in parts.
    std::shared_ptr<http_call> open(http_request const &request,
                                    http_call_handlers handlers);

    /// Ends a call of `open`; none of its handlers runs after this.
    void cancel(std::shared_ptr<http_call> const &call);

    /// Starts a call and collects its reply. A reply longer than
    /// `max_reply_bytes` counts as failed after the send, and its connection is
    /// closed.
    ///
    /// @param on_reply runs once, unless the client is destroyed before
    void send(http_request const &request,
              std::function<void(http_reply const &)> on_reply);

    static constexpr std::size_t max_reply_bytes = std::size_t{16} << 20;

private:
    /// libsoup walks through all open calls of a session at each step of each
    /// call, so that a session is given a few calls only. Sessions with kept
    /// connections serve one address, others any: to make one takes longer than
    /// a call, and a daemon may call hundreds of addresses.
    struct pooled_session
    {
        gobject_ptr<SoupSession> session;
        std::size_t open = 0;
    };

    std::shared_ptr<pooled_session> const &
    session_for(std::string const &address);
    void release(std::shared_ptr<http_call> const &call);

    connection_use use_;
    std::unordered_map<std::string,
                       std::vector<std::shared_ptr<pooled_session>>>
        sessions_;
    std::unordered_map<std::shared_ptr<http_call>,
                       std::shared_ptr<pooled_session>>
        open_;
};

} // namespace agateledge

#endif
