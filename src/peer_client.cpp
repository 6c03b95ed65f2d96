#include "peer_client.hpp"

#include "daemon_identity.hpp"
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "json_text.hpp"
#include "peer_messages.hpp"
#include "peer_rpc_server.hpp"
#include "result_code.hpp"
#include "signing_keys.hpp"

#include <jsonrpccpp/client/batchcall.h>

#include <memory>
#include <utility>

namespace agateledge
{

namespace
{

/// Two heartbeat intervals; a peer that takes longer is reported as failed.
constexpr duration call_timeout = seconds(1);

std::string rpc_request_text(peer_envelope const &call)
{
    jsonrpc::BatchCall batch;
    batch.addCall(call.method, envelope_to_json(call));
    return batch.toString();
}

} // namespace

peer_client::peer_client(daemon_identity const &identity, http_client &http,
                         daemon_loop &loop, signing_keys const &keys)
    : identity_(identity), http_(http), loop_(loop), keys_(keys)
{
}

void peer_client::call(peer_call const &call)
{
    send(call.peer, call.address, heartbeat_method,
         heartbeat_to_text(call.message),
         [this, peer = call.peer](std::string const &body)
         {
             auto reply = heartbeat_from_text(body);
             if (reply.ok() && reply->from == peer)
             {
                 loop_.input().heartbeats.push_back(*std::move(reply));
             }
         });
}

void peer_client::fetch(configuration_fetch const &fetch)
{
    send(fetch.peer, fetch.address, fetch_configuration_method, "{}",
         [this](std::string const &body)
         {
             auto reply = configuration_reply_from_text(body);
             if (reply.ok())
             {
                 loop_.input().configuration_documents.push_back(
                     *std::move(reply));
             }
         });
}

peer_envelope peer_client::make_call(std::string const &peer,
                                     std::string const &method,
                                     std::string body)
{
    peer_envelope call;
    call.method = method;
    call.sender = identity_.name;
    call.incarnation = identity_.incarnation;
    call.counter = ++last_counter_;
    call.receiver = peer;
    call.receiver_incarnation = incarnations_[peer];
    call.body = std::move(body);
    sign_envelope(call, keys_);
    return call;
}

void peer_client::send(std::string const &peer, std::string const &address,
                       std::string const &method, std::string body,
                       body_handler on_body)
{
    auto const call = make_call(peer, method, std::move(body));
    http_request request;
    request.method = "POST";
    request.address = address;
    request.path = "/rpc";
    request.total_timeout = call_timeout;
    request.body = std::make_shared<std::string const>(rpc_request_text(call));
    http_.send(
        request,
        [this, call, on_body = std::move(on_body)](http_reply const &reply)
        {
            auto const body = reply.outcome == http_outcome::answered
                                  ? reply_body(call, reply.body)
                                  : make_status(result_code::internal_error,
                                                "the peer did not answer");
            if (body.ok())
            {
                on_body(*body);
                return;
            }
            report_failure(call.receiver);
        });
}

absl::StatusOr<peer_envelope>
peer_client::verify_reply(peer_envelope const &call,
                          Json::Value const &in) const
{
    auto reply = envelope_from_json(call.method + "/reply", in);
    if (!reply.ok())
    {
        return reply;
    }
    bool const matches =
        reply->sender == call.receiver && reply->receiver == call.sender &&
        reply->receiver_incarnation == call.incarnation &&
        reply->counter == call.counter && verify_envelope(*reply, keys_);
    return matches ? reply
                   : make_status(result_code::unauthenticated,
                                 "the peer's reply does not match the call or "
                                 "its signature is not valid");
}

void peer_client::update_incarnation(peer_envelope const &call,
                                     Json::Value const &error)
{
    auto const reply = verify_reply(call, error["data"]);
    if (reply.ok() && reply->incarnation > incarnations_[call.receiver])
    {
        incarnations_[call.receiver] = reply->incarnation;
    }
}

absl::StatusOr<std::string> peer_client::reply_body(peer_envelope const &call,
                                                    std::string const &response)
{
    auto const document = json_from_text(response);
    if (!document.ok() || !document->isArray() || document->size() != 1 ||
        !(*document)[0].isObject())
    {
        return make_status(result_code::invalid_request,
                           "the peer's response is not a valid JSON-RPC reply");
    }
    auto const &item = (*document)[0];
    if (item["error"].isObject())
    {
        update_incarnation(call, item["error"]);
        return make_status(result_code::unauthenticated,
                           "the peer returned a JSON-RPC error");
    }
    auto const reply = verify_reply(call, item["result"]);
    return reply.ok() ? absl::StatusOr<std::string>(reply->body)
                      : reply.status();
}

void peer_client::report_failure(std::string const &peer)
{
    loop_.input().peer_failures.push_back({peer});
}

} // namespace agateledge
