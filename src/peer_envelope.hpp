#ifndef AGATELEDGE_PEER_ENVELOPE_HPP
#define AGATELEDGE_PEER_ENVELOPE_HPP

#include "ids.hpp"

#include "absl/status/statusor.h"

#include <json/json.h>

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

class signing_keys;

/// Signed message between daemons: the parameters or the result of a JSON-RPC
/// call. The signature covers all other members, so that a message is of no use
/// for another method, to another daemon, or after a restart of its receiver.
struct peer_envelope
{
    /// Method of a call; the method with the suffix "/reply" in a reply.
    std::string method;
    std::string sender;
    incarnation_number incarnation;
    /// Grows with each call of an incarnation; that of the call in a reply.
    std::uint64_t counter = 0;
    std::string receiver;
    /// Incarnation of the receiver as the sender knows it; 0 for none.
    incarnation_number receiver_incarnation;
    /// JSON document of the message.
    std::string body;
    std::string signature;

    auto operator<=>(peer_envelope const &) const = default;
};

/// Signs the envelope with the first key.
void sign_envelope(peer_envelope &envelope, signing_keys const &keys);

/// @return true when any key made the envelope's signature
bool verify_envelope(peer_envelope const &envelope, signing_keys const &keys);

/// @return the envelope, without its method, as a JSON object
Json::Value envelope_to_json(peer_envelope const &envelope);

/// @param method method that the envelope must have been signed for
/// @return the envelope of a JSON object, or `invalid_request`
absl::StatusOr<peer_envelope> envelope_from_json(std::string const &method,
                                                 Json::Value const &in);

} // namespace agateledge

#endif
