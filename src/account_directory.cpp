#include "account_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace agateledge
{

namespace
{

/// Digits of a key's SHA-256 that logs may contain.
constexpr std::size_t label_digits = 8;

std::uint64_t random_seed()
{
    std::random_device source;
    constexpr unsigned half = 32;
    return std::uint64_t{source()} << half | source();
}

} // namespace

account_directory::account_directory(
    std::vector<account_definition> const &definitions,
    account_directory const *before)
    : seed_(before != nullptr ? before->seed_ : random_seed())
{
    std::vector<key_directory::entry> entries;
    for (auto const &definition : definitions)
    {
        auto const owner = static_cast<std::uint32_t>(accounts_.size());
        accounts_.push_back(definition.account);
        for (auto const &key : definition.keys)
        {
            auto const print = fingerprint_of(key);
            auto const digest = digest_of(key, print, before);
            known_.push_back({print, digest});
            entries.push_back({digest, owner});
        }
    }
    auto const configured = entries.size();
    keys_ = key_directory(std::move(entries));
    repeated_keys_ = configured - keys_.size();
    std::ranges::sort(known_, {}, &known_key::print);
    known_.shrink_to_fit();
}

account_directory::fingerprint
account_directory::fingerprint_of(std::string_view key) const
{
    auto const hash = XXH3_128bits_withSeed(key.data(), key.size(), seed_);
    return {hash.high64, hash.low64};
}

key_digest account_directory::digest_of(std::string_view key,
                                        fingerprint const &print,
                                        account_directory const *before)
{
    if (before != nullptr)
    {
        auto const found = std::ranges::lower_bound(before->known_, print, {},
                                                    &known_key::print);
        if (found != before->known_.end() && found->print == print)
        {
            return found->digest;
        }
    }
    ++hashed_keys_;
    return sha256_digest(key);
}

client_account const *
account_directory::authenticate(std::string_view authorization) const
{
    auto const owner = keys_.owner_of(bearer_token(authorization));
    return owner ? &accounts_.at(*owner) : nullptr;
}

std::string key_label(std::string_view authorization)
{
    auto const token = bearer_token(authorization);
    return token.empty() ? std::string()
                         : sha256_of(token).substr(0, label_digits);
}

} // namespace agateledge
