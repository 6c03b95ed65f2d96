#ifndef AGATELEDGE_MEMORY_LIMITS_HPP
#define AGATELEDGE_MEMORY_LIMITS_HPP

#include <compare>
#include <cstddef>

namespace agateledge
{

/// Memory of the host, and the parts of it for messages that are kept until
/// they are complete. The parts leave half for everything else.
struct memory_limits
{
    /// In bytes; the default suits the smallest host of the deployments.
    std::size_t host_bytes = std::size_t{256} << 20;

    /// @return limit in bytes of all answers of instances that are forwarded
    ///         when they are complete
    std::size_t answer_bytes() const { return host_bytes / 4; }

    /// @return limit in bytes of all replies that one HTTP client collects
    std::size_t reply_bytes() const { return host_bytes / 8; }

    /// @return limit in bytes of all bodies of requests that callers are
    ///         sending
    std::size_t request_bytes() const { return host_bytes / 8; }

    auto operator<=>(memory_limits const &) const = default;
};

} // namespace agateledge

#endif
