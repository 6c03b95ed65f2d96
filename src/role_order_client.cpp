#include "role_order_client.hpp"

#include "daemon_loop.hpp"
#include "engine_role_order.hpp"
#include "http_client.hpp"
#include "proxy_codec.hpp"

#include <utility>

namespace agateledge
{

void role_order_client::send(
    std::shared_ptr<engine_role_order const> const &order)
{
    auto request = codec_.encode_role_order(*order);
    request.address = order->address;
    request.total_timeout = order->timeout;
    request.not_after = order->not_after;
    request.new_connection = true;
    http_.send(
        request,
        [this, order](http_reply const &reply)
        {
            engine_role_reply out;
            out.operation = order->operation;
            out.instance = order->instance;
            out.status = reply.answered_status();
            loop_.input().engine_role_replies.push_back(
                std::make_shared<engine_role_reply const>(std::move(out)));
        });
}

} // namespace agateledge
