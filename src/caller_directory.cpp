#include "caller_directory.hpp"

#include "gobject_ptr.hpp"
#include "signing_keys.hpp"

#include <algorithm>
#include <charconv>

namespace agateledge
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t sha256_hex_digits = 64;

std::uint64_t key_of(std::string_view hash)
{
    constexpr std::size_t key_hex_digits = 16;
    constexpr int base = 16;
    std::uint64_t key = 0;
    auto const part = hash.substr(0, key_hex_digits);
    std::from_chars(part.data(), part.data() + part.size(), key, base);
    return key;
}

} // namespace

void caller_directory::update(configuration const &config)
{
    if (loaded_ && config.revision == revision_)
    {
        return;
    }
    loaded_ = true;
    revision_ = config.revision;
    callers_.clear();
    callers_.reserve(config.callers.size());
    for (auto const &caller : config.callers)
    {
        if (caller.token_sha256.size() == sha256_hex_digits)
        {
            callers_.emplace(key_of(caller.token_sha256),
                             entry{caller.token_sha256, caller.name});
        }
    }
}

std::string caller_directory::authenticate(std::string_view authorization) const
{
    if (!authorization.starts_with(bearer_prefix))
    {
        return {};
    }
    auto const hash = sha256_of(authorization.substr(bearer_prefix.size()));
    auto const [first, last] = callers_.equal_range(key_of(hash));
    auto const found = std::find_if(
        first, last,
        [&hash](auto const &item)
        { return equal_in_constant_time(item.second.token_sha256, hash); });
    return found == last ? std::string() : found->second.name;
}

std::string sha256_of(std::string_view text)
{
    gchar_ptr const hex(g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<guchar const *>(text.data()),
        text.size()));
    return hex.get();
}

} // namespace agateledge
