#ifndef AGATELEDGE_ROLE_ORDER_CLIENT_HPP
#define AGATELEDGE_ROLE_ORDER_CLIENT_HPP

#include <memory>

namespace agateledge
{

class daemon_loop;
class http_client;
struct engine_role_order;
struct proxy_codec;

/// Sends orders that change the roles of engines.
class role_order_client
{
public:
    /// @param http client for the calls; must outlive this object
    /// @param loop receives the replies; must outlive this object
    /// @param codec encodes the orders; must outlive this object
    role_order_client(http_client &http, daemon_loop &loop,
                      proxy_codec const &codec)
        : http_(http), loop_(loop), codec_(codec)
    {
    }

    /// Sends an order; its reply is added to the inbox of the loop.
    void send(std::shared_ptr<engine_role_order const> const &order);

private:
    http_client &http_;
    daemon_loop &loop_;
    proxy_codec const &codec_;
};

} // namespace agateledge

#endif
