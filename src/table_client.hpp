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

/// Carries out calls to the table service within the daemon's budgets. Calls
/// over the budget wait in a bounded queue; a call that leaves the queue unsent
/// is `unavailable`. Calls for leases, orders and the configuration are few and
/// are sent at once.
class table_client
{
public:
    /// @param http connections; outlives the client
    /// @param loop takes the replies; outlives the client
    /// @param address IP address and port of the table service
    /// @param limits budgets of this daemon
    table_client(http_client &http, daemon_loop &loop, std::string address,
                 store_limits limits);
    ~table_client();
    table_client(table_client const &) = delete;
    table_client &operator=(table_client const &) = delete;

    /// Sends a call, or queues it.
    void call(table_call const &call);

private:
    struct queued_call
    {
        table_call call;
        instant expires_at;
    };

    bool may_send(table_call const &call);
    void send(table_call const &call);
    void answer(table_call const &call, http_reply const &reply);
    void answer_unavailable(table_call const &call);
    void pump();
    void expire();
    void schedule_pump();

    http_client &http_;
    daemon_loop &loop_;
    std::string address_;
    token_bucket writes_;
    token_bucket reads_;
    std::deque<queued_call> queue_;
    std::size_t in_flight_ = 0;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
