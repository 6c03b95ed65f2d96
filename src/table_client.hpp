#ifndef AGATELEDGE_TABLE_CLIENT_HPP
#define AGATELEDGE_TABLE_CLIENT_HPP

#include "settings.hpp"
#include "table_call.hpp"
#include "time.hpp"
#include "token_bucket.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace agateledge
{

class daemon_loop;
class http_client;
struct http_reply;

/// Sends calls to the table service within this daemon's rate limits. Calls
/// over the limit wait in a bounded queue; a call that times out in the queue
/// or finds it full gets the reply `unavailable`. Calls for leases, orders and
/// the configuration are few; they bypass the queue and are charged to the
/// budget.
class table_client
{
public:
    /// @param http connections; outlives the client
    /// @param loop receives the replies; outlives the client
    /// @param address IP address and port of the table service
    /// @param limits rate limits of this daemon
    table_client(http_client &http, daemon_loop &loop, std::string address,
                 table_service_limits limits);
    ~table_client();
    table_client(table_client const &) = delete;
    table_client &operator=(table_client const &) = delete;

    /// Sends a call, or queues it; the reply arrives in the inbox.
    void call(table_call const &call);

private:
    struct queued_call
    {
        table_call call;
        instant expires_at;
    };

    bool may_send(table_call const &call);
    void send(table_call const &call);
    void handle_reply(table_call const &call, http_reply const &reply);
    void reply_unavailable(table_call const &call);
    void send_queued_calls();
    void expire_queued_calls();
    void schedule_queue_check();

    http_client &http_;
    daemon_loop &loop_;
    std::string address_;
    token_bucket write_budget_;
    token_bucket read_budget_;
    std::deque<queued_call> queue_;
    std::size_t in_flight_ = 0;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
