#ifndef AGATELEDGE_RESIDENT_MEMORY_HPP
#define AGATELEDGE_RESIDENT_MEMORY_HPP

#include <cstddef>

namespace agateledge
{

/// @return resident memory of this process in bytes
std::size_t resident_bytes();

} // namespace agateledge

#endif
