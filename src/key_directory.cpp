#include "key_directory.hpp"

#include "gobject_ptr.hpp"
#include "signing_keys.hpp"

#include <algorithm>
#include <charconv>
#include <memory>
#include <tuple>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";

/// @return the first 64 bits of the digest, in the order of its bytes
std::uint64_t prefix_of(key_digest const &digest)
{
    std::uint64_t prefix = 0;
    constexpr unsigned bits_per_byte = 8;
    for (std::size_t i = 0; i < sizeof prefix; ++i)
    {
        prefix = prefix << bits_per_byte | digest.at(i);
    }
    return prefix;
}

std::string_view bytes_of(key_digest const &digest)
{
    return {reinterpret_cast<char const *>(digest.data()), digest.size()};
}

} // namespace

key_directory::key_directory(std::vector<entry> entries)
    : entries_(std::move(entries))
{
    std::ranges::sort(entries_, {},
                      [](entry const &item)
                      { return std::tie(item.digest, item.owner); });
    entries_.erase(std::unique(entries_.begin(), entries_.end(),
                               [](entry const &left, entry const &right)
                               { return left.digest == right.digest; }),
                   entries_.end());
    entries_.shrink_to_fit();
}

std::optional<std::uint32_t>
key_directory::owner_of(std::string_view token) const
{
    if (token.empty())
    {
        return std::nullopt;
    }
    auto const digest = sha256_digest(token);
    auto const prefix = prefix_of(digest);
    auto const first = std::ranges::lower_bound(
        entries_, prefix, {},
        [](entry const &item) { return prefix_of(item.digest); });
    auto const last = std::find_if(first, entries_.end(),
                                   [prefix](entry const &item) {
                                       return prefix_of(item.digest) != prefix;
                                   });
    auto const found =
        std::find_if(first, last,
                     [&digest](entry const &item) {
                         return equal_in_constant_time(bytes_of(item.digest),
                                                       bytes_of(digest));
                     });
    return found == last ? std::nullopt : std::optional(found->owner);
}

std::string_view bearer_token(std::string_view authorization)
{
    return authorization.starts_with(bearer_prefix)
               ? authorization.substr(bearer_prefix.size())
               : std::string_view();
}

key_digest sha256_digest(std::string_view text)
{
    std::unique_ptr<GChecksum, decltype(&g_checksum_free)> const checksum(
        g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
    g_checksum_update(checksum.get(),
                      reinterpret_cast<guchar const *>(text.data()),
                      static_cast<gssize>(text.size()));
    key_digest out{};
    gsize size = out.size();
    g_checksum_get_digest(checksum.get(), out.data(), &size);
    return out;
}

std::optional<key_digest> digest_from_hex(std::string_view text)
{
    constexpr int base = 16;
    constexpr std::size_t digits_per_byte = 2;
    key_digest out{};
    if (text.size() != out.size() * digits_per_byte)
    {
        return std::nullopt;
    }
    auto const *position = text.data();
    for (auto &byte : out)
    {
        auto const *end = position + digits_per_byte;
        if (std::from_chars(position, end, byte, base).ptr != end)
        {
            return std::nullopt;
        }
        position = end;
    }
    return out;
}

std::string sha256_of(std::string_view text)
{
    gchar_ptr const hex(g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<guchar const *>(text.data()),
        text.size()));
    return hex.get();
}

} // namespace agateledge
