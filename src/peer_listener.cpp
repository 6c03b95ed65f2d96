#include "peer_listener.hpp"

#include "http_exchange.hpp"

namespace agateledge
{

peer_listener::peer_listener(world &state, daemon_loop &loop,
                             signing_keys const &keys)
    : rpc_(state, loop, keys)
{
    server_.add("/rpc",
                [this](std::shared_ptr<http_exchange> const &exchange)
                {
                    auto const response = exchange->method() == "POST"
                                              ? rpc_.respond(exchange->body())
                                              : std::string();
                    constexpr int ok = 200;
                    constexpr int bad_request = 400;
                    exchange->reply(response.empty() ? bad_request : ok,
                                    response);
                });
}

absl::Status peer_listener::start(std::string const &address)
{
    return server_.listen(address);
}

} // namespace agateledge
