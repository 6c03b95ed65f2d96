#include "memory_in_use.hpp"

#include <unistd.h>

#include <fstream>

#ifdef __SANITIZE_ADDRESS__
// Part of the sanitizer's run-time interface, whose header is not installed
// with the compiler on all systems.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace agateledge
{

std::size_t memory_in_use()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    std::ifstream file("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
#endif
}

} // namespace agateledge
