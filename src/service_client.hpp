#ifndef AGATELEDGE_SERVICE_CLIENT_HPP
#define AGATELEDGE_SERVICE_CLIENT_HPP

#include "outbox.hpp"

namespace agateledge
{

class daemon_loop;
class http_client;

/// Sends calls to the endpoints of plain services.
class service_client
{
public:
    /// @param http connections; outlives the client
    /// @param loop receives the replies; outlives the client
    service_client(http_client &http, daemon_loop &loop);

    /// Sends a call once, without retries. Only a failure to connect is
    /// reported as `failed_before_send`.
    void call(service_call const &call);

private:
    http_client &http_;
    daemon_loop &loop_;
};

} // namespace agateledge

#endif
