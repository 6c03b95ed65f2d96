#ifndef AGATELEDGE_BENCH_PROCESS_HPP
#define AGATELEDGE_BENCH_PROCESS_HPP

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>

namespace agateledge
{

/// Child process of a benchmark with its own GLib main loop. It ends with the
/// benchmark, and after two minutes by itself.
class bench_process
{
public:
    /// Starts the process.
    ///
    /// @param serve sets the servers up in the child, calls its argument with
    ///        a line for the parent, and runs until the process is ended
    explicit bench_process(
        std::function<void(
            std::function<void(std::string const &)> const &)> const &serve);
    ~bench_process();
    bench_process(bench_process const &) = delete;
    bench_process &operator=(bench_process const &) = delete;

    /// @return the line that the child sent
    std::string const &line() const { return line_; }

    /// @return CPU time that the child has used, in seconds
    double cpu_seconds() const;

    /// @return memory that the child has resident, in bytes
    std::int64_t resident_bytes() const;

private:
    pid_t child_ = 0;
    std::string line_;
};

} // namespace agateledge

#endif
