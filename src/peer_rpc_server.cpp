#include "peer_rpc_server.hpp"

#include "configuration_json.hpp"
#include "daemon_loop.hpp"
#include "json_text.hpp"
#include "peer_messages.hpp"
#include "signing_keys.hpp"
#include "track_peers.hpp"
#include "world.hpp"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>

#include <utility>

namespace agateledge
{

namespace
{

jsonrpc::Procedure procedure_of(char const *method)
{
    return {method,
            jsonrpc::PARAMS_BY_NAME,
            jsonrpc::JSON_OBJECT,
            "sender",
            jsonrpc::JSON_STRING,
            "incarnation",
            jsonrpc::JSON_INTEGER,
            "counter",
            jsonrpc::JSON_INTEGER,
            "receiver",
            jsonrpc::JSON_STRING,
            "receiver_incarnation",
            jsonrpc::JSON_INTEGER,
            "body",
            jsonrpc::JSON_STRING,
            "signature",
            jsonrpc::JSON_STRING,
            nullptr};
}

[[noreturn]] void refuse(int code, std::string const &message,
                         Json::Value const &data = {})
{
    throw jsonrpc::JsonRpcException(code, message, data);
}

} // namespace

peer_rpc_server::peer_rpc_server(world &state, daemon_loop &loop,
                                 signing_keys const &keys)
    : jsonrpc::AbstractServer<peer_rpc_server>(
          static_cast<text_connector &>(*this)),
      state_(state), loop_(loop), keys_(keys)
{
    bindAndAddMethod(procedure_of(heartbeat_method),
                     &peer_rpc_server::heartbeat);
    bindAndAddMethod(procedure_of(fetch_configuration_method),
                     &peer_rpc_server::fetch_configuration);
}

std::string peer_rpc_server::respond(std::string const &request)
{
    // Checked before the call because the library's parser allows deeper
    // nesting.
    if (request.size() > max_request_bytes || !json_from_text(request).ok())
    {
        return {};
    }
    std::string response;
    try
    {
        OnRequest(request, &response);
    }
    catch (Json::Exception const &)
    {
        response.clear();
    }
    return response;
}

bool peer_rpc_server::accept_counter(peer_envelope const &call)
{
    auto &sender = senders_[call.sender];
    if (call.incarnation < sender.incarnation)
    {
        return false;
    }
    if (call.incarnation > sender.incarnation)
    {
        sender = {call.incarnation, {}};
    }
    return sender.window.accept(call.counter);
}

Json::Value peer_rpc_server::reply_to(peer_envelope const &call,
                                      std::string body) const
{
    peer_envelope reply;
    reply.method = call.method + "/reply";
    reply.sender = state_.identity.name;
    reply.incarnation = state_.identity.incarnation;
    reply.counter = call.counter;
    reply.receiver = call.sender;
    reply.receiver_incarnation = call.incarnation;
    reply.body = std::move(body);
    sign_envelope(reply, keys_);
    return envelope_to_json(reply);
}

peer_envelope peer_rpc_server::authenticate(std::string const &method,
                                            Json::Value const &in)
{
    auto const call = envelope_from_json(method, in);
    if (!call.ok() || call->receiver != state_.identity.name ||
        !verify_envelope(*call, keys_))
    {
        refuse(unauthenticated_error,
               "the call is malformed, for another daemon, or its "
               "signature is not valid");
    }
    if (call->receiver_incarnation != state_.identity.incarnation)
    {
        refuse(other_incarnation_error,
               "the call names another incarnation of this daemon",
               reply_to(*call, "{}"));
    }
    if (!accept_counter(*call))
    {
        refuse(unauthenticated_error,
               "the call was received before or is too old");
    }
    return *call;
}

void peer_rpc_server::heartbeat(Json::Value const &in, Json::Value &out)
{
    auto const call = authenticate(heartbeat_method, in);
    auto message = heartbeat_from_text(call.body);
    if (!message.ok() || message->from != call.sender ||
        message->incarnation != call.incarnation)
    {
        refuse(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
               "the heartbeat is malformed or not from the caller");
    }
    auto const sequence = message->sequence;
    loop_.input().heartbeats.push_back(*std::move(message));
    out = reply_to(call, heartbeat_to_text(make_heartbeat(
                             state_, daemon_loop::clock_now(), sequence)));
}

void peer_rpc_server::fetch_configuration(Json::Value const &in,
                                          Json::Value &out)
{
    auto const call = authenticate(fetch_configuration_method, in);
    configuration_document document;
    document.from = state_.identity.name;
    document.document = configuration_to_json(state_.config);
    auto const &confirmed = state_.config_sync.confirmed_at;
    if (confirmed)
    {
        document.revision_age_us =
            (daemon_loop::clock_now() - *confirmed).count();
    }
    out = reply_to(call, configuration_reply_to_text(document));
}

} // namespace agateledge
