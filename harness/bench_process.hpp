#ifndef AGATELEDGE_BENCH_PROCESS_HPP
#define AGATELEDGE_BENCH_PROCESS_HPP

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>

namespace agateledge
{

/// Child process of a benchmark, with its own GLib main loop. It is killed when
/// the benchmark ends, and at the latest after two minutes.
class bench_process
{
public:
    /// Starts the process and waits until it has sent its line.
    ///
    /// @param serve called in the child: starts the servers, passes one line
    /// for
    ///        the parent to its argument, and runs until the process is killed
    explicit bench_process(
        std::function<void(
            std::function<void(std::string const &)> const &)> const &serve);
    ~bench_process();
    bench_process(bench_process const &) = delete;
    bench_process &operator=(bench_process const &) = delete;

    /// @return the line that the child sent; empty if it ended without one
    std::string const &line() const { return line_; }

    /// @return CPU time that the child has used, in seconds
    double cpu_seconds() const;

    /// @return resident memory of the child, in bytes
    std::int64_t resident_bytes() const;

private:
    pid_t child_ = 0;
    std::string line_;
};

} // namespace agateledge

#endif
