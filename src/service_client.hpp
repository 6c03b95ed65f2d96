#ifndef AGATELEDGE_SERVICE_CLIENT_HPP
#define AGATELEDGE_SERVICE_CLIENT_HPP

#include "outbox.hpp"

namespace agateledge
{

class daemon_loop;
class http_client;

/// Carries out calls to the endpoints of plain services.
class service_client
{
public:
    /// @param http connections; outlives the client
    /// @param loop takes the replies; outlives the client
    service_client(http_client &http, daemon_loop &loop);

    /// Sends one call, once. Only a failed connect counts as a failure before
    /// the send.
    void call(service_call const &call);

private:
    http_client &http_;
    daemon_loop &loop_;
};

} // namespace agateledge

#endif
