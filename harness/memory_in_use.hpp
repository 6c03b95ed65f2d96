#ifndef AGATELEDGE_MEMORY_IN_USE_HPP
#define AGATELEDGE_MEMORY_IN_USE_HPP

#include <cstddef>

namespace agateledge
{

/// @return resident memory of this process in bytes; with the address
///         sanitizer, which keeps freed memory for a while, allocated bytes
std::size_t memory_in_use();

} // namespace agateledge

#endif
