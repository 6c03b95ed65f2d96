#ifndef AGATELEDGE_CALLER_DIRECTORY_HPP
#define AGATELEDGE_CALLER_DIRECTORY_HPP

#include "configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace agateledge
{

/// Authenticates callers by the hash of their bearer token.
class caller_directory
{
public:
    /// Replaces the callers by those of a configuration with a new revision.
    void update(configuration const &config);

    /// @param authorization value of the Authorization header
    /// @return name of the caller, or empty for a wrong or missing token
    std::string authenticate(std::string_view authorization) const;

private:
    struct entry
    {
        std::string token_sha256;
        std::string name;
    };

    bool loaded_ = false;
    revision_number revision_;
    /// Keyed by the first 64 bits of the hash; the complete hash is compared in
    /// constant time.
    std::unordered_multimap<std::uint64_t, entry> callers_;
};

/// @return SHA-256 of `text` in lower-case hexadecimal
std::string sha256_of(std::string_view text);

} // namespace agateledge

#endif
