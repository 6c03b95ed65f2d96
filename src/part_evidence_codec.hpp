#ifndef AGATELEDGE_PART_EVIDENCE_CODEC_HPP
#define AGATELEDGE_PART_EVIDENCE_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

struct part_evidence_report;

/// @return the datagram of a report
std::string encode_part_evidence(part_evidence_report const &report);

/// @return the report in a datagram; none when the datagram is malformed, of
///         another format version or of another kind
std::optional<part_evidence_report>
decode_part_evidence(std::string_view bytes);

} // namespace agateledge

#endif
