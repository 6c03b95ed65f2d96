#ifndef AGATELEDGE_ACCOUNT_DIRECTORY_HPP
#define AGATELEDGE_ACCOUNT_DIRECTORY_HPP

#include "key_directory.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agateledge
{

/// Client account of one version of the configuration.
struct client_account
{
    std::string name;
    /// Priority class of its requests, instead of that of the route; 0 is the
    /// highest.
    std::optional<int> priority;

    auto operator<=>(client_account const &) const = default;
};

/// Client account with its keys, as configured.
struct account_definition
{
    client_account account;
    std::vector<std::string> keys;
};

/// Client accounts of one version of the configuration. Keeps hashes of the
/// keys only.
class account_directory
{
public:
    /// @param definitions the accounts
    /// @param before the directory of the version before, or null. The hashes
    ///        of keys that it has are taken from it: SHA-256 of every key of a
    ///        large configuration takes long on a small host.
    explicit account_directory(
        std::vector<account_definition> const &definitions,
        account_directory const *before = nullptr);

    /// @param authorization value of the header with the caller's key
    /// @return the account that has the key, or null for an unknown or missing
    ///         key
    client_account const *authenticate(std::string_view authorization) const;

    /// @return the accounts, as configured
    std::vector<client_account> const &accounts() const { return accounts_; }

    /// @return number of different keys
    std::size_t keys() const { return keys_.size(); }

    /// @return number of keys that are configured again after their first
    ///         account, to which they belong
    std::size_t repeated_keys() const { return repeated_keys_; }

    /// @return number of keys that were hashed; the other hashes were known
    std::size_t hashed_keys() const { return hashed_keys_; }

private:
    /// Recognises a configured key without keeping it: 128 bits of XXH3 with a
    /// random seed that does not leave the process.
    using fingerprint = std::pair<std::uint64_t, std::uint64_t>;

    struct known_key
    {
        fingerprint print;
        key_digest digest{};
    };

    fingerprint fingerprint_of(std::string_view key) const;
    key_digest digest_of(std::string_view key, fingerprint const &print,
                         account_directory const *before);

    std::vector<client_account> accounts_;
    key_directory keys_;
    std::uint64_t seed_;
    /// Ordered by fingerprint.
    std::vector<known_key> known_;
    std::size_t repeated_keys_ = 0;
    std::size_t hashed_keys_ = 0;
};

/// @return the first 8 hexadecimal digits of the SHA-256 of the key in the
///         header, by which logs name a refused key; empty without a key
std::string key_label(std::string_view authorization);

} // namespace agateledge

#endif
