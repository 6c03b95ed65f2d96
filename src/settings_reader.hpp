#ifndef AGATELEDGE_SETTINGS_READER_HPP
#define AGATELEDGE_SETTINGS_READER_HPP

#include "time.hpp"

#include "absl/status/statusor.h"

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace agateledge
{

/// Reads the keys of one TOML table and collects every fault with its file,
/// line and key. Keys that nobody read are reported as unknown.
class settings_reader
{
public:
    /// @param table table to read; outlives the reader
    /// @param file name of the file, for the messages
    /// @param path key of the table within the file; empty for the root
    /// @param faults list that faults are appended to
    settings_reader(toml::table const &table, std::string file,
                    std::string path, std::vector<std::string> &faults);

    /// Reads a text.
    ///
    /// @param required true when the key must be there
    void read(char const *key, std::string &value, bool required = false);

    /// Reads a text that must be one of `allowed`.
    void read_choice(char const *key, std::string &value,
                     std::vector<std::string> const &allowed);

    /// Reads an IP address and port.
    void read_address(char const *key, std::string &value,
                      bool required = false);

    /// Reads a SHA-256 in hexadecimal.
    void read_sha256(char const *key, std::string &value);

    void read(char const *key, bool &value);

    /// Reads a whole number from `least` to `most`.
    void read(char const *key, std::int64_t &value, std::int64_t least,
              std::int64_t most);
    void read(char const *key, int &value, int least, int most);

    /// Reads a number from `least` to `most`.
    void read(char const *key, double &value, double least, double most);

    /// Reads a time in milliseconds, from 0 to 24 hours.
    void read_milliseconds(char const *key, duration &value);

    /// Reads a time in seconds, with fractions, from 0 to 24 hours.
    void read_seconds(char const *key, duration &value);

    /// @return the table under `key`, or null when it is absent
    toml::table const *table(char const *key);

    /// @return the tables of the array under `key`
    std::vector<toml::table const *> tables(char const *key);

    /// @return a reader for a table below this one
    settings_reader below(toml::table const &table,
                          std::string const &key) const;

    /// Reports a fault at the place of `key`, or of the table.
    void report(char const *key, std::string const &text);

    /// Reports the keys that were not read.
    void finish();

private:
    toml::node const *find(char const *key);
    void report_at(toml::source_region const &source, std::string const &key,
                   std::string const &text);
    std::string full_key(std::string const &key) const;

    toml::table const &table_;
    std::string file_;
    std::string path_;
    std::vector<std::string> &faults_;
    std::set<std::string> known_;
};

/// Reads a settings text by `read` and reports all of its faults.
///
/// @param file name that the messages show
/// @return `settings_invalid` with the faults, one a line: file, line, key and
///         what is allowed
absl::Status
read_settings_text(std::string const &text, std::string const &file,
                   std::function<void(settings_reader &)> const &read);

/// @return the text of a settings file, or `settings_invalid`
absl::StatusOr<std::string> read_settings_file(std::string const &file);

} // namespace agateledge

#endif
