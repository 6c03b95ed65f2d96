#ifndef AGATELEDGE_SETTINGS_READER_HPP
#define AGATELEDGE_SETTINGS_READER_HPP

#include "time.hpp"

#include "absl/status/statusor.h"

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace agateledge
{

/// Reads the keys of one TOML table and collects all errors with their file,
/// line and key. Keys that were not read are reported as unknown.
class settings_reader
{
public:
    /// @param table table to read; outlives the reader
    /// @param file file name for the error messages
    /// @param path dotted key of the table within the file; empty for the root
    /// @param faults list to which error messages are appended
    settings_reader(toml::table const &table, std::string file,
                    std::string path, std::vector<std::string> &faults);

    /// Reads a string.
    ///
    /// @param required true when the key must be present and not empty
    void read(char const *key, std::string &value, bool required = false);

    /// Reads a string that must be one of `allowed`.
    void read_choice(char const *key, std::string &value,
                     std::vector<std::string> const &allowed);

    /// Reads an IP address and port.
    void read_address(char const *key, std::string &value,
                      bool required = false);

    /// Reads a required SHA-256 digest: 64 lower-case hexadecimal digits.
    void read_sha256(char const *key, std::string &value);

    void read(char const *key, bool &value);

    /// Reads an integer from `min` to `max`.
    void read(char const *key, std::int64_t &value, std::int64_t min,
              std::int64_t max);
    void read(char const *key, int &value, int min, int max);

    /// Reads a number from `min` to `max`.
    void read(char const *key, double &value, double min, double max);

    /// Reads a whole number of mebibytes, from 64 to 1048576.
    void read_megabytes(char const *key, std::size_t &bytes);

    /// Reads a duration in whole milliseconds, from 0 to 24 hours.
    void read_milliseconds(char const *key, duration &value);

    /// Reads a duration in seconds, with fractions, from 0 to 24 hours.
    void read_seconds(char const *key, duration &value);

    /// @return the table under `key`, or null when it is absent
    toml::table const *table(char const *key);

    /// @return the tables of the array under `key`; empty when it is absent
    std::vector<toml::table const *> tables(char const *key);

    /// @return the strings of the array under `key`; empty when it is absent
    std::vector<std::string> strings(char const *key);

    /// @return a reader for a table nested in this one; it shares the list of
    ///         errors
    settings_reader subtable(toml::table const &table,
                             std::string const &key) const;

    /// Adds an error with the line of `key`, or of the table when the key is
    /// absent.
    void report(char const *key, std::string const &text);

    /// Reports the keys of the table that were not read as unknown.
    void report_unknown_keys();

private:
    toml::node const *find(char const *key);
    void report_at(toml::source_region const &source, std::string const &key,
                   std::string const &text);
    std::string full_key(std::string const &key) const;

    toml::table const &table_;
    std::string file_;
    std::string path_;
    std::vector<std::string> &faults_;
    std::set<std::string> read_keys_;
};

/// Parses the text of a settings file and reads its root table with `read`.
///
/// @param file file name for the error messages
/// @return `settings_invalid` with all errors, one per line: file, line, key
///         and what is allowed
absl::Status
read_settings_text(std::string const &text, std::string const &file,
                   std::function<void(settings_reader &)> const &read);

/// @return the text of a settings file, or `settings_invalid`
absl::StatusOr<std::string> read_settings_file(std::string const &file);

} // namespace agateledge

#endif
