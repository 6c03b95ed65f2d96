#include "run_command_line.hpp"

int main(int argc, char **argv)
{
    return agateledge::run_command_line(argc, argv);
}
