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

/// Documents of the sections of a configuration, by digest. A section never
/// changes, so daemons keep those that they know and fetch only new ones.
using section_documents =
    std::map<std::string, std::shared_ptr<std::string const>>;

/// Document of one revision: its description and the digests of its sections.
/// A change of one account among 26,000 touches one section of about 100
/// accounts, so that a revision costs kilobytes in place of megabytes.
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
/// @param documents gets the documents of all its sections
/// @return the index of the configuration
configuration_index split_configuration(configuration const &value,
                                        section_documents &documents);

/// Puts a configuration together.
///
/// @param index description and digests
/// @param documents documents of at least the sections of the index
/// @return the configuration, in the order of the section names, or
///         `settings_invalid` when a section is missing or damaged
absl::StatusOr<configuration>
join_configuration(configuration_index const &index,
                   section_documents const &documents);

/// @return `index` as a JSON document
std::string configuration_index_to_json(configuration_index const &index);

/// @return the index of a JSON document, or `settings_invalid`
absl::StatusOr<configuration_index>
configuration_index_from_json(std::string_view text);

/// @return digest of a section's document, in hexadecimal
std::string section_digest(std::string_view document);

} // namespace agateledge

#endif
