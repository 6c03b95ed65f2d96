#ifndef AGATELEDGE_CALLER_DIRECTORY_HPP
#define AGATELEDGE_CALLER_DIRECTORY_HPP

#include "configuration.hpp"
#include "key_directory.hpp"

#include <string>
#include <string_view>
#include <vector>

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
    bool loaded_ = false;
    revision_number revision_;
    key_directory keys_;
    /// Names of the owners of `keys_`.
    std::vector<std::string> names_;
};

} // namespace agateledge

#endif
