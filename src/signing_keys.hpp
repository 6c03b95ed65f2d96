#ifndef AGATELEDGE_SIGNING_KEYS_HPP
#define AGATELEDGE_SIGNING_KEYS_HPP

#include "absl/status/status.h"

#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// HMAC-SHA256 keys: the first one signs and all verify, so that a key can be
/// replaced while signatures of the old one are still in use.
class signing_keys
{
public:
    /// Makes one random key, valid in this process only.
    signing_keys();

    /// @param keys at least one key
    explicit signing_keys(std::vector<std::string> keys);

    /// Reads the keys again, one a line. The old keys stay on a failure.
    ///
    /// @param path file with the keys
    /// @return `settings_invalid` when the file has no key or a key of fewer
    ///         than 16 characters
    absl::Status load(std::string const &path);

    /// @return signature of `text` by the first key, in hexadecimal
    std::string sign(std::string_view text) const;

    /// @return true when any key made `signature` of `text`
    bool verify(std::string_view text, std::string_view signature) const;

private:
    std::vector<std::string> keys_;
};

/// Compares in a time that depends on the lengths alone, so that a caller
/// cannot find a secret byte by byte.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace agateledge

#endif
