#ifndef AGATELEDGE_SIGNING_KEYS_HPP
#define AGATELEDGE_SIGNING_KEYS_HPP

#include "absl/status/status.h"

#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// HMAC-SHA256 keys. The first key signs and all keys verify, so that a key can
/// be rotated while signatures made with the old one are still in use.
class signing_keys
{
public:
    /// Generates one random key, known to this process only.
    signing_keys();

    /// @param keys at least one key
    explicit signing_keys(std::vector<std::string> keys);

    /// Replaces the keys by those in a file, one per line; empty lines are
    /// ignored. On failure the old keys stay in use.
    ///
    /// @param path file with the keys
    /// @return `settings_invalid` when the file cannot be read, has no key, or
    ///         has a key of fewer than 16 characters
    absl::Status load(std::string const &path);

    /// @return signature of `text` by the first key, in hexadecimal
    std::string sign(std::string_view text) const;

    /// @return true when `signature` was made for `text` with any of the keys
    bool verify(std::string_view text, std::string_view signature) const;

private:
    std::vector<std::string> keys_;
};

/// Compares in a time that depends only on the lengths, so that timing does not
/// reveal a secret byte by byte.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace agateledge

#endif
