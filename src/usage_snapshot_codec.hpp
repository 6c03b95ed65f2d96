#ifndef AGATELEDGE_USAGE_SNAPSHOT_CODEC_HPP
#define AGATELEDGE_USAGE_SNAPSHOT_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

struct usage_snapshot;

/// @return the report as a datagram, in GVariant serialisation
std::string encode_usage_snapshot(usage_snapshot const &report);

/// @param bytes datagram from the network; may contain anything
/// @return the report, or nothing when the bytes are not a valid report of this
///         format version
std::optional<usage_snapshot> decode_usage_snapshot(std::string_view bytes);

} // namespace agateledge

#endif
