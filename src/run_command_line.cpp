#include "run_command_line.hpp"

#include <cstdio>
#include <string_view>

namespace agateledge
{

int run_command_line(int argc, char **argv)
{
    if (argc == 2 && std::string_view(argv[1]) == "--version")
    {
        std::puts("agateledge " AGATELEDGE_VERSION);
        return 0;
    }
    std::fputs("usage: agateledge serve|dev|ctl|check|report\n", stderr);
    return 2;
}

} // namespace agateledge
