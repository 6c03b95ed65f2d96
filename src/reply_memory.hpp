#ifndef AGATELEDGE_REPLY_MEMORY_HPP
#define AGATELEDGE_REPLY_MEMORY_HPP

#include <cstddef>

namespace agateledge
{

/// Upper bound of the memory of the replies that are kept until they are
/// complete, so that it is counted only when it can exceed its limit.
struct reply_memory
{
    /// Memory at the last count, in bytes.
    std::size_t counted_bytes = 0;
    /// Reply bytes received since then.
    std::size_t received_bytes = 0;
};

} // namespace agateledge

#endif
