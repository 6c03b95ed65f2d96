#ifndef AGATELEDGE_BENCH_CALLER_HPP
#define AGATELEDGE_BENCH_CALLER_HPP

#include "time.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace agateledge
{

/// Load generator of a benchmark. Sends the same HTTP request repeatedly over
/// persistent connections, with a CPU cost low enough not to affect the
/// results.
class bench_caller
{
public:
    /// @param port loopback port of the server
    /// @param request bytes of the request; the answer must have the chunked
    ///        transfer encoding, whose last chunk marks its end
    bench_caller(int port, std::string request);
    ~bench_caller();
    bench_caller(bench_caller const &) = delete;
    bench_caller &operator=(bench_caller const &) = delete;

    /// Sends the request on an idle connection, or on a new one if none is
    /// idle.
    void begin();

    /// Reads the bytes that have been received.
    ///
    /// @param wait maximum time to wait for bytes, less than 1 s
    /// @return number of answers that were completed
    std::size_t read(duration wait);

    /// @return number of requests whose answer is incomplete
    std::size_t open() const { return open_; }

    /// @return number of open requests whose answer has begun
    std::size_t begun() const;

    std::size_t failed() const { return failed_; }

    /// Times from the request to the end of its answer.
    std::vector<duration> latencies;

private:
    struct connection
    {
        int socket = -1;
        bool busy = false;
        /// Last bytes of the answer received so far.
        std::string tail;
        duration started{};
    };

    connection &idle_connection();
    bool receive(connection &item);
    void fail(connection &item);

    int port_;
    std::string request_;
    std::vector<connection> connections_;
    std::size_t open_ = 0;
    std::size_t failed_ = 0;
};

} // namespace agateledge

#endif
