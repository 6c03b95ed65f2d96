#include "peer_envelope.hpp"

#include "json_text.hpp"
#include "result_code.hpp"
#include "signing_keys.hpp"

namespace agateledge
{

namespace
{

/// Text that is signed: a JSON array, so that no two envelopes have the same
/// text, whatever characters the members contain.
std::string signed_text(peer_envelope const &envelope)
{
    Json::Value text(Json::arrayValue);
    text.append(envelope.method);
    text.append(envelope.sender);
    text.append(Json::UInt64(envelope.incarnation.value()));
    text.append(Json::UInt64(envelope.counter));
    text.append(envelope.receiver);
    text.append(Json::UInt64(envelope.receiver_incarnation.value()));
    text.append(envelope.body);
    return json_to_text(text);
}

} // namespace

void sign_envelope(peer_envelope &envelope, signing_keys const &keys)
{
    envelope.signature = keys.sign(signed_text(envelope));
}

bool verify_envelope(peer_envelope const &envelope, signing_keys const &keys)
{
    return keys.verify(signed_text(envelope), envelope.signature);
}

Json::Value envelope_to_json(peer_envelope const &envelope)
{
    Json::Value out;
    out["sender"] = envelope.sender;
    out["incarnation"] = Json::UInt64(envelope.incarnation.value());
    out["counter"] = Json::UInt64(envelope.counter);
    out["receiver"] = envelope.receiver;
    out["receiver_incarnation"] =
        Json::UInt64(envelope.receiver_incarnation.value());
    out["body"] = envelope.body;
    out["signature"] = envelope.signature;
    return out;
}

absl::StatusOr<peer_envelope> envelope_from_json(std::string const &method,
                                                 Json::Value const &in)
{
    if (!in.isObject())
    {
        return make_status(result_code::invalid_request,
                           "peer message: not a JSON object");
    }
    try
    {
        return peer_envelope{
            method,
            in["sender"].asString(),
            incarnation_number(in["incarnation"].asUInt64()),
            in["counter"].asUInt64(),
            in["receiver"].asString(),
            incarnation_number(in["receiver_incarnation"].asUInt64()),
            in["body"].asString(),
            in["signature"].asString()};
    }
    catch (Json::Exception const &error)
    {
        return make_status(result_code::invalid_request,
                           std::string("peer message: ") + error.what());
    }
}

} // namespace agateledge
