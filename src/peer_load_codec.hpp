#ifndef AGATELEDGE_PEER_LOAD_CODEC_HPP
#define AGATELEDGE_PEER_LOAD_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

struct peer_load_report;

/// @return the datagram of a report, serialised by GVariant
std::string encode_peer_load(peer_load_report const &report);

/// @param bytes datagram from another daemon, not trusted
/// @return the report, or nothing for bytes that are no report of this version
std::optional<peer_load_report> decode_peer_load(std::string_view bytes);

} // namespace agateledge

#endif
