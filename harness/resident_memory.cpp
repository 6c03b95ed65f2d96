#include "resident_memory.hpp"

#include <unistd.h>

#include <fstream>

namespace agateledge
{

std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace agateledge
