#ifndef AGATELEDGE_BENCH_CALLER_HPP
#define AGATELEDGE_BENCH_CALLER_HPP

#include "time.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace agateledge
{

/// Callers of a benchmark: kept connections over which the same HTTP request is
/// sent, cheap enough not to be what is measured.
class bench_caller
{
public:
    /// @param port loopback port of the server
    /// @param request bytes of the request; its answer is sent in chunks
    bench_caller(int port, std::string request);
    ~bench_caller();
    bench_caller(bench_caller const &) = delete;
    bench_caller &operator=(bench_caller const &) = delete;

    /// Sends the request on a connection that is idle or new.
    void begin();

    /// Reads what has arrived.
    ///
    /// @param wait longest time to wait for bytes
    /// @return answers that were completed
    std::size_t read(duration wait);

    /// @return requests whose answer is not complete
    std::size_t open() const { return open_; }

    /// @return open requests of which some bytes have been answered
    std::size_t begun() const;

    std::size_t failed() const { return failed_; }

    /// Times from request to the end of the answer.
    std::vector<duration> latencies;

private:
    struct connection
    {
        int socket = -1;
        bool busy = false;
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
