#ifndef AGATELEDGE_HTTP_SERVER_LIMITS_HPP
#define AGATELEDGE_HTTP_SERVER_LIMITS_HPP

#include "settings.hpp"

#include <compare>
#include <cstddef>

namespace agateledge
{

/// Limits of an `http_server`.
struct http_server_limits
{
    /// Limits on connections; those on the size of single requests do not
    /// apply.
    listener_limits connections;
    /// Maximum memory of all request bodies that are open at the same time;
    /// each is a statement of an operator or a message of a peer.
    std::size_t body_bytes = std::size_t{16} << 20;
    /// Every request is answered when it has arrived, so that one that stays
    /// open belongs to a client that has stalled.
    bool answers_at_once = false;

    auto operator<=>(http_server_limits const &) const = default;
};

} // namespace agateledge

#endif
