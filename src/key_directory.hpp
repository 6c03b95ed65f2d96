#ifndef AGATELEDGE_KEY_DIRECTORY_HPP
#define AGATELEDGE_KEY_DIRECTORY_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// SHA-256 of a key.
using key_digest = std::array<unsigned char, 32>;

/// Finds the owner of a bearer token by the token's hash.
class key_directory
{
public:
    struct entry
    {
        key_digest digest{};
        /// Index of the owner in the list of the user of this class.
        std::uint32_t owner = 0;
    };

    key_directory() = default;

    /// @param entries keys with their owners; of entries with the same digest,
    ///        the one with the lowest owner is kept
    explicit key_directory(std::vector<entry> entries);

    /// @param token bearer token as sent
    /// @return its owner, or nothing when it is unknown or empty
    std::optional<std::uint32_t> owner_of(std::string_view token) const;

    /// @return number of different keys
    std::size_t size() const { return entries_.size(); }

private:
    /// Ordered by digest. A search compares the first 64 bits, which do not
    /// reveal the rest; the complete digest is compared in constant time.
    std::vector<entry> entries_;
};

/// @return the token of an Authorization header with the scheme Bearer; empty
///         for other values
std::string_view bearer_token(std::string_view authorization);

/// @return SHA-256 of `text`
key_digest sha256_digest(std::string_view text);

/// @return the digest that 64 hexadecimal digits give, or nothing
std::optional<key_digest> digest_from_hex(std::string_view text);

/// @return SHA-256 of `text` in lower-case hexadecimal
std::string sha256_of(std::string_view text);

} // namespace agateledge

#endif
