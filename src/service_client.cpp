#include "service_client.hpp"

#include "daemon_loop.hpp"
#include "http_client.hpp"

namespace agateledge
{

namespace
{

service_reply_kind kind_of(http_outcome outcome)
{
    switch (outcome)
    {
    case http_outcome::answered:
        return service_reply_kind::answered;
    case http_outcome::failed_before_send:
        return service_reply_kind::failed_before_send;
    case http_outcome::failed_after_send:
        return service_reply_kind::failed_after_send;
    }
    return service_reply_kind::failed_after_send;
}

http_request make_request(service_call const &call)
{
    http_request request;
    request.method = call.method;
    request.address = call.address;
    request.path = call.path;
    request.body = call.method == "GET" ? nullptr : call.body;
    request.total_timeout = call.timeout;
    // On a reused connection a late copy of an earlier reply would be read as
    // the reply to this call, and the server may close the connection while the
    // call is written to it, which leaves the outcome unknown.
    request.new_connection = true;
    request.reset_when_given_up = true;
    if (!call.idempotency_key.empty())
    {
        request.headers = {{"Idempotency-Key", call.idempotency_key}};
    }
    return request;
}

} // namespace

service_client::service_client(http_client &http, daemon_loop &loop)
    : http_(http), loop_(loop)
{
}

void service_client::call(service_call const &call)
{
    http_.send(make_request(call),
               [this, attempt = call.attempt](http_reply const &reply)
               {
                   service_reply out;
                   out.attempt = attempt;
                   out.kind = kind_of(reply.outcome);
                   out.http_status = reply.status;
                   out.body = reply.body;
                   loop_.input().service_replies.push_back(std::move(out));
               });
}

} // namespace agateledge
