#ifndef AGATELEDGE_ACCOUNT_LOAD_CODEC_HPP
#define AGATELEDGE_ACCOUNT_LOAD_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

struct account_load_report;

/// @return the report as a datagram, in GVariant serialisation
std::string encode_account_load(account_load_report const &report);

/// @param bytes datagram from the network; may contain anything
/// @return the report, or nothing when the bytes are not a valid report of this
///         format version
std::optional<account_load_report> decode_account_load(std::string_view bytes);

} // namespace agateledge

#endif
