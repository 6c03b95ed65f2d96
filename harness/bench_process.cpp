#include "bench_process.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <sstream>

namespace agateledge
{

namespace
{

/// Time after which a child ends even if its benchmark hangs.
constexpr unsigned max_lifetime_seconds = 120;

std::string read_line(int descriptor)
{
    std::string line;
    char next = 0;
    while (read(descriptor, &next, 1) == 1 && next != '\n')
    {
        line += next;
    }
    return line;
}

} // namespace

bench_process::bench_process(
    std::function<void(std::function<void(std::string const &)> const &)> const
        &serve)
{
    std::array<int, 2> pipe_ends{};
    if (pipe(pipe_ends.data()) != 0)
    {
        return;
    }
    child_ = fork();
    if (child_ == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        alarm(max_lifetime_seconds);
        close(pipe_ends[0]);
        serve(
            [&pipe_ends](std::string const &line)
            {
                auto const text = line + "\n";
                [[maybe_unused]] auto const count =
                    write(pipe_ends[1], text.data(), text.size());
            });
        _exit(0);
    }
    close(pipe_ends[1]);
    line_ = read_line(pipe_ends[0]);
    close(pipe_ends[0]);
}

bench_process::~bench_process()
{
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
}

double bench_process::cpu_seconds() const
{
    std::ifstream file("/proc/" + std::to_string(child_) + "/stat");
    std::string const text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string skipped;
    // The first field after the process name is the third of the line; user and
    // system time are the 14th and 15th.
    constexpr int skipped_fields = 11;
    for (int i = 0; i < skipped_fields; ++i)
    {
        rest >> skipped;
    }
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::int64_t bench_process::resident_bytes() const
{
    std::ifstream file("/proc/" + std::to_string(child_) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

} // namespace agateledge
