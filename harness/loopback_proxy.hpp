#ifndef AGATELEDGE_LOOPBACK_PROXY_HPP
#define AGATELEDGE_LOOPBACK_PROXY_HPP

#include "scripted_http_server.hpp"
#include "time.hpp"

#include <functional>
#include <memory>
#include <string>

namespace agateledge
{

class proxy_process;
struct proxy_settings;

/// A store, an endpoint and a daemon behind the platform, on loopback ports and
/// the default main context. Bookings go to `/book/` of the host `localhost`.
class loopback_proxy
{
public:
    /// @param route_timeout timeout of the route
    /// @param work_time time that the endpoint takes for a request; its answer
    ///        is "seat of " and the caller's attempt id
    loopback_proxy(duration route_timeout, duration work_time);
    ~loopback_proxy();
    loopback_proxy(loopback_proxy const &) = delete;
    loopback_proxy &operator=(loopback_proxy const &) = delete;

    /// Starts the planned stop of the daemon.
    void shut_down();

    /// Ends the daemon, and with it all its connections, once it has stopped.
    ///
    /// @return true when the daemon has ended
    bool end_if_stopped();

    /// @return port on which the daemon accepts callers
    int port() const { return port_; }

    /// @return requests that have reached the endpoint
    int calls() const { return calls_; }

private:
    proxy_settings settings() const;
    void serve_endpoint(SoupServerMessage *message);
    void serve_store(SoupServerMessage *message, std::string const &path) const;

    duration route_timeout_;
    duration work_time_;
    int calls_ = 0;
    scripted_http_server endpoint_;
    scripted_http_server store_;
    /// Chosen after the ports of the servers, which would otherwise take it.
    int port_;
    std::unique_ptr<proxy_process> process_;
    bool stopped_ = false;
};

} // namespace agateledge

#endif
