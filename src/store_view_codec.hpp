#ifndef AGATELEDGE_STORE_VIEW_CODEC_HPP
#define AGATELEDGE_STORE_VIEW_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

struct store_view_report;

/// @return the report as a datagram
std::string encode_store_view(store_view_report const &report);

/// @return the report; nothing when the bytes are not one
std::optional<store_view_report> decode_store_view(std::string_view bytes);

} // namespace agateledge

#endif
