#ifndef AGATELEDGE_PEER_RPC_SERVER_HPP
#define AGATELEDGE_PEER_RPC_SERVER_HPP

#include "peer_envelope.hpp"
#include "replay_window.hpp"

#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <map>
#include <string>

namespace agateledge
{

class daemon_loop;
class signing_keys;
struct world;

/// Connector without a transport: the owner passes in the text of each request,
/// and the response is stored in a string. The connectors of the library start
/// threads of their own.
class text_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(std::string const &text, void *target) override
    {
        *static_cast<std::string *>(target) = text;
        return true;
    }
};

/// Answers the JSON-RPC calls of other daemons. A call is accepted only when
/// its signature is valid, it names this incarnation of the daemon, and its
/// counter was not used before.
class peer_rpc_server : private text_connector,
                        public jsonrpc::AbstractServer<peer_rpc_server>
{
public:
    /// @param state this daemon
    /// @param loop receives the heartbeats
    /// @param keys keys that sign the calls between daemons
    peer_rpc_server(world &state, daemon_loop &loop, signing_keys const &keys);

    /// @param request JSON-RPC request, or a batch of them
    /// @return the response; empty for a request that is too long or not JSON
    std::string respond(std::string const &request);

    /// Longer requests are not parsed.
    static constexpr std::size_t max_request_bytes = std::size_t{1} << 20;

    /// JSON-RPC error code of a call whose signature or counter is not valid.
    static constexpr int unauthenticated_error = -32001;
    /// JSON-RPC error code of a call that names another incarnation of this
    /// daemon, such as the one before a restart.
    static constexpr int other_incarnation_error = -32002;

private:
    struct sender_state
    {
        incarnation_number incarnation;
        replay_window window;
    };

    void heartbeat(Json::Value const &in, Json::Value &out);
    void fetch_configuration(Json::Value const &in, Json::Value &out);
    peer_envelope authenticate(std::string const &method,
                               Json::Value const &in);
    bool accept_counter(peer_envelope const &call);
    Json::Value reply_to(peer_envelope const &call, std::string body) const;

    world &state_;
    daemon_loop &loop_;
    signing_keys const &keys_;
    std::map<std::string, sender_state> senders_;
};

} // namespace agateledge

#endif
