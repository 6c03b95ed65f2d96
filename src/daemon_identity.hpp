#ifndef AGATELEDGE_DAEMON_IDENTITY_HPP
#define AGATELEDGE_DAEMON_IDENTITY_HPP

#include "ids.hpp"

#include <compare>
#include <string>

namespace agateledge
{

/// Identity of a daemon, from its settings and its start time.
struct daemon_identity
{
    std::string name;
    incarnation_number incarnation;
    std::string data_centre;
    /// IP address and port that peers use.
    std::string address;

    auto operator<=>(daemon_identity const &) const = default;
};

} // namespace agateledge

#endif
