#ifndef AGATELEDGE_FIXED_REPLY_SERVER_HPP
#define AGATELEDGE_FIXED_REPLY_SERVER_HPP

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace agateledge
{

/// What a `fixed_reply_server` does with the connection after its reply.
enum class connection_ending
{
    keep_open,
    close,
    reset,
    /// Repeats the end of the reply until the caller closes, or up to a limit
    /// that no caller should reach.
    endless,
};

/// Server that accepts one connection and answers the first bytes received on
/// it with fixed bytes, which need not be valid HTTP. It runs in its own
/// thread, so that, as with a separate process, it does not depend on the main
/// loop of the code under test.
class fixed_reply_server
{
public:
    /// @param repeated_bytes number of bytes at the end of the reply that an
    ///        endless reply repeats
    fixed_reply_server(std::string reply, connection_ending ending,
                       std::size_t repeated_bytes = 1);
    ~fixed_reply_server();
    fixed_reply_server(fixed_reply_server const &) = delete;
    fixed_reply_server &operator=(fixed_reply_server const &) = delete;

    /// @return IP address and port
    std::string address() const;

    /// @return bytes of an endless reply that the socket has accepted
    std::size_t bytes_sent() const { return bytes_sent_; }

    /// @return true once the caller has closed an endless reply
    bool closed_by_caller() const { return closed_by_caller_; }

private:
    void serve();
    void send_endless_reply();

    std::string reply_;
    connection_ending ending_;
    std::size_t repeated_bytes_;
    int listener_ = -1;
    int connection_ = -1;
    std::atomic<std::size_t> bytes_sent_ = 0;
    std::atomic<bool> closed_by_caller_ = false;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace agateledge

#endif
