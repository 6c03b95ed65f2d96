#include "platform_client.hpp"

#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "platform_call.hpp"
#include "proxy_codec.hpp"

#include <utility>

namespace agateledge
{

platform_client::platform_client(http_client &http, daemon_loop &loop,
                                 proxy_codec const &codec, std::string address)
    : http_(http), loop_(loop), codec_(codec), address_(std::move(address))
{
}

void platform_client::call(std::shared_ptr<platform_call const> const &call)
{
    auto request = codec_.encode_platform_call(*call);
    request.address = address_;
    request.total_timeout = call->timeout;
    request.not_after = call->not_after;
    request.new_connection = true;
    http_.send(request,
               [this, call](http_reply const &reply)
               {
                   auto out = codec_.decode_platform_reply(
                       *call, reply.answered_status());
                   if (reply.outcome == http_outcome::failed_before_send)
                   {
                       out.outcome = platform_outcome::not_sent;
                   }
                   loop_.input().platform_replies.push_back(
                       std::make_shared<platform_reply const>(out));
               });
}

} // namespace agateledge
