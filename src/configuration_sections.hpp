#ifndef AGATELEDGE_CONFIGURATION_SECTIONS_HPP
#define AGATELEDGE_CONFIGURATION_SECTIONS_HPP

#include "configuration.hpp"

#include "absl/status/statusor.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace agateledge
{

/// Documents of the sections of a configuration, by digest. A digest always
/// names the same document, so daemons cache documents and read only new ones.
using section_documents =
    std::map<std::string, std::shared_ptr<std::string const>>;

/// Document of one revision: its description and the digests of its sections.
/// A change to one of 26,000 accounts rewrites one section of about 100
/// accounts, so a revision costs kilobytes to transfer instead of megabytes.
struct configuration_index
{
    revision_number revision;
    std::string author;
    std::int64_t changed_at = 0;
    std::string summary;
    /// Digest by section name: "base", "engines/<data centre>",
    /// "endpoints/<data centre>" and "callers/<shard>".
    std::map<std::string, std::string> sections;

    auto operator<=>(configuration_index const &) const = default;
};

/// Splits a configuration into sections.
///
/// @param value configuration
/// @param[out] documents receives the documents of all its sections; entries
///        that it already has are kept
/// @return the index of the configuration
configuration_index split_configuration(configuration const &value,
                                        section_documents &documents);

/// Joins sections to a configuration.
///
/// @param index description and digests
/// @param documents documents of at least the sections of the index
/// @return the configuration, its lists in the order of the section names, or
///         an error when a section is missing (`settings_invalid`) or cannot be
///         parsed
absl::StatusOr<configuration>
join_configuration(configuration_index const &index,
                   section_documents const &documents);

/// @return `index` as a JSON document
std::string configuration_index_to_json(configuration_index const &index);

/// Reads the JSON document of an index.
///
/// @return the index, or `settings_invalid` when a field has the wrong type or
///         the section "base" is missing, or `invalid_request` when `text` is
///         not JSON
absl::StatusOr<configuration_index>
configuration_index_from_json(std::string_view text);

/// @return digest of a section's document: XXH3, 128 bits, in hexadecimal
std::string section_digest(std::string_view document);

} // namespace agateledge

#endif
