#include "signing_keys.hpp"

#include "gobject_ptr.hpp"
#include "result_code.hpp"

#include <algorithm>
#include <fstream>
#include <random>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::size_t min_key_characters = 16;

std::string random_key()
{
    constexpr int words = 8;
    std::random_device source;
    std::string key;
    for (int i = 0; i < words; ++i)
    {
        key += std::to_string(source());
    }
    return key;
}

std::string hmac(std::string const &key, std::string_view text)
{
    gchar_ptr const hex(g_compute_hmac_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<guchar const *>(key.data()),
        key.size(), reinterpret_cast<guchar const *>(text.data()),
        text.size()));
    return hex.get();
}

std::vector<std::string> read_lines(std::ifstream &file)
{
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(file, line))
    {
        if (!line.empty())
        {
            lines.push_back(line);
        }
    }
    return lines;
}

} // namespace

signing_keys::signing_keys() : keys_{random_key()} {}

signing_keys::signing_keys(std::vector<std::string> keys)
    : keys_(std::move(keys))
{
}

absl::Status signing_keys::load(std::string const &path)
{
    std::ifstream file(path);
    auto lines = read_lines(file);
    bool const too_short =
        std::ranges::any_of(lines, [](std::string const &line)
                            { return line.size() < min_key_characters; });
    if (lines.empty() || too_short)
    {
        return make_status(
            result_code::settings_invalid,
            "key file " + path +
                " must be readable and have one or more keys of " +
                std::to_string(min_key_characters) +
                " characters or more, one per line");
    }
    keys_ = std::move(lines);
    return absl::OkStatus();
}

std::string signing_keys::sign(std::string_view text) const
{
    return hmac(keys_.front(), text);
}

bool signing_keys::verify(std::string_view text,
                          std::string_view signature) const
{
    return std::ranges::any_of(
        keys_, [&](std::string const &key)
        { return equal_in_constant_time(hmac(key, text), signature); });
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        difference |= static_cast<unsigned char>(left[i]) ^
                      static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace agateledge
