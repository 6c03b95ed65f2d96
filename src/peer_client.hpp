#ifndef AGATELEDGE_PEER_CLIENT_HPP
#define AGATELEDGE_PEER_CLIENT_HPP

#include "outbox.hpp"
#include "peer_envelope.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace agateledge
{

class daemon_loop;
class http_client;
class signing_keys;
struct daemon_identity;

/// Calls other daemons. The first call to a daemon, and the first one after its
/// restart, is refused and reported as failed: the signed error reply carries
/// the incarnation that later calls must name.
class peer_client
{
public:
    /// @param identity this daemon
    /// @param http connections; outlives the client
    /// @param loop receives the replies; outlives the client
    /// @param keys keys that sign the calls between daemons
    peer_client(daemon_identity const &identity, http_client &http,
                daemon_loop &loop, signing_keys const &keys);

    /// Sends a heartbeat; the inbox receives the peer's heartbeat or a
    /// `peer_failure`.
    void call(peer_call const &call);

    /// Requests the peer's configuration document.
    void fetch(configuration_fetch const &fetch);

private:
    using body_handler = std::function<void(std::string const &body)>;

    void send(std::string const &peer, std::string const &address,
              std::string const &method, std::string body,
              body_handler on_body);
    peer_envelope make_call(std::string const &peer, std::string const &method,
                            std::string body);
    absl::StatusOr<std::string> reply_body(peer_envelope const &call,
                                           std::string const &response);
    absl::StatusOr<peer_envelope> verify_reply(peer_envelope const &call,
                                               Json::Value const &in) const;
    void update_incarnation(peer_envelope const &call,
                            Json::Value const &error);
    void report_failure(std::string const &peer);

    daemon_identity const &identity_;
    http_client &http_;
    daemon_loop &loop_;
    signing_keys const &keys_;
    std::uint64_t last_counter_ = 0;
    std::map<std::string, incarnation_number> incarnations_;
};

} // namespace agateledge

#endif
