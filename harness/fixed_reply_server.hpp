#ifndef AGATELEDGE_FIXED_REPLY_SERVER_HPP
#define AGATELEDGE_FIXED_REPLY_SERVER_HPP

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace agateledge
{

/// How a `fixed_reply_server` ends a connection after its reply.
enum class reply_ending
{
    keep_open,
    close,
    reset,
    /// The reply's last bytes are repeated until the caller closes.
    endless,
};

/// Server in a thread of its own, like a process of its own, that answers the
/// first bytes of one connection with fixed bytes, whether or not they are
/// HTTP.
class fixed_reply_server
{
public:
    fixed_reply_server(std::string reply, reply_ending ending);
    ~fixed_reply_server();
    fixed_reply_server(fixed_reply_server const &) = delete;
    fixed_reply_server &operator=(fixed_reply_server const &) = delete;

    /// @return IP address and port
    std::string address() const;

    /// @return bytes that the caller's side has taken
    std::size_t bytes_sent() const { return bytes_sent_; }

    /// @return true once the caller has closed an endless reply
    bool closed_by_caller() const { return closed_by_caller_; }

private:
    void serve();
    void send_without_end();

    std::string reply_;
    reply_ending ending_;
    int listener_ = -1;
    int connection_ = -1;
    std::atomic<std::size_t> bytes_sent_ = 0;
    std::atomic<bool> closed_by_caller_ = false;
    std::atomic<bool> ends_ = false;
    std::thread thread_;
};

} // namespace agateledge

#endif
