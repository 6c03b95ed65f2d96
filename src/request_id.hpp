#ifndef AGATELEDGE_REQUEST_ID_HPP
#define AGATELEDGE_REQUEST_ID_HPP

#include "inbox.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

class signing_keys;

/// Public id of a request. It names the engine and the stream, so that any
/// daemon can resume the answer without shared state.
struct request_id
{
    std::string data_centre;
    std::string engine;
    /// "<daemon>:<incarnation>:<attempt>".
    std::string stream_key;

    auto operator<=>(request_id const &) const = default;
};

/// @param id id to sign
/// @param caller caller that the id is valid for
/// @param keys signing keys; the first one signs
/// @return "<data centre>/<engine>/<stream key>/<signature>"
std::string sign_request_id(request_id const &id, std::string_view caller,
                            signing_keys const &keys);

/// Reads `Last-Event-ID`, "<request id>:<offset>".
///
/// @param text value of the header
/// @param caller caller that sent it
/// @param keys signing keys; a signature by any of them is valid
/// @return where to resume the stream, or nothing if the id is malformed,
///         forged or belongs to another caller
std::optional<resume_point> resume_point_of(std::string_view text,
                                            std::string_view caller,
                                            signing_keys const &keys);

} // namespace agateledge

#endif
