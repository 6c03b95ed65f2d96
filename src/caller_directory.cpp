#include "caller_directory.hpp"

#include <cstdint>
#include <utility>

namespace agateledge
{

void caller_directory::update(configuration const &config)
{
    if (loaded_ && config.revision == revision_)
    {
        return;
    }
    loaded_ = true;
    revision_ = config.revision;
    names_.clear();
    std::vector<key_directory::entry> entries;
    for (auto const &caller : config.callers)
    {
        if (auto const digest = digest_from_hex(caller.token_sha256))
        {
            entries.push_back(
                {*digest, static_cast<std::uint32_t>(names_.size())});
            names_.push_back(caller.name);
        }
    }
    keys_ = key_directory(std::move(entries));
}

std::string caller_directory::authenticate(std::string_view authorization) const
{
    auto const owner = keys_.owner_of(bearer_token(authorization));
    return owner ? names_.at(*owner) : std::string();
}

} // namespace agateledge
