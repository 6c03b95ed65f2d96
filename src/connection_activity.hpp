#ifndef AGATELEDGE_CONNECTION_ACTIVITY_HPP
#define AGATELEDGE_CONNECTION_ACTIVITY_HPP

#include <cstddef>
#include <functional>

namespace agateledge
{

/// What the reading side of a connection holds; shared by the stream and the
/// acceptor, either of which may be destroyed first.
struct connection_activity
{
    /// Bytes of an incomplete head, chunk header or trailer.
    std::size_t unfinished_bytes = 0;

    /// Called with the earlier value when `unfinished_bytes` has changed; empty
    /// once the acceptor is destroyed.
    std::function<void(std::size_t before)> on_change;
};

} // namespace agateledge

#endif
