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
/// call. The signature covers all other members, so that a message cannot be
/// replayed to another method, to another daemon, or after its receiver has
/// restarted.
struct peer_envelope
{
    /// Method of the call, with the suffix "/reply" in a reply.
    std::string method;
    std::string sender;
    incarnation_number incarnation;
    /// In a call, increases with each call that this incarnation of the sender
    /// makes; in a reply, the counter of the call.
    std::uint64_t counter = 0;
    std::string receiver;
    /// Incarnation of the receiver that the sender knows; 0 if it knows none.
    incarnation_number receiver_incarnation;
    /// JSON document that the method defines.
    std::string body;
    std::string signature;

    auto operator<=>(peer_envelope const &) const = default;
};

/// Signs the envelope with the first key.
void sign_envelope(peer_envelope &envelope, signing_keys const &keys);

/// @return true when the signature was made with any of the keys
bool verify_envelope(peer_envelope const &envelope, signing_keys const &keys);

/// @return the envelope, without its method, as a JSON object
Json::Value envelope_to_json(peer_envelope const &envelope);

/// @param method method for which the signature must have been made; it is not
///        part of `in`
/// @return the envelope, or `invalid_request`; the signature is not checked
absl::StatusOr<peer_envelope> envelope_from_json(std::string const &method,
                                                 Json::Value const &in);

} // namespace agateledge

#endif
