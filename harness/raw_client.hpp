#ifndef AGATELEDGE_RAW_CLIENT_HPP
#define AGATELEDGE_RAW_CLIENT_HPP

#include "time.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace agateledge
{

/// Runs the default main context until `done` returns true.
///
/// @return false on a time-out after `limit`
bool run_main_context_until(std::function<bool()> const &done,
                            duration limit = seconds(5));

/// Client that sends arbitrary bytes on a socket, which need not be valid HTTP.
/// It runs in the same thread as the daemon under test and runs the default
/// main context while it waits.
class raw_client
{
public:
    /// Connects to a loopback port.
    explicit raw_client(int port);
    ~raw_client();
    raw_client(raw_client const &) = delete;
    raw_client &operator=(raw_client const &) = delete;

    /// Sends all bytes, and runs the main context meanwhile.
    ///
    /// @return false if the connection failed
    bool send(std::string_view bytes);

    /// Sends a short request without running the main context.
    ///
    /// @return false if the connection failed or did not take all bytes
    bool send_without_iteration(std::string_view bytes);

    /// Reads until `text` has been received, and runs the main context
    /// meanwhile.
    ///
    /// @return false on a time-out after `limit`
    bool read_until(std::string_view text, duration limit = seconds(5));

    /// Reads until the daemon closes the connection.
    ///
    /// @return false on a time-out after `limit`
    bool read_until_closed(duration limit = seconds(5));

    /// Reads all bytes that are available, without waiting.
    void read_available();

    /// Closes the sending direction only.
    void shut_down_sending();

    void close();

    /// Bytes received so far.
    std::string received;
    /// True if the connection could not be opened, was closed or failed.
    bool closed = false;

private:
    int socket_;
};

/// @param headers header lines, each with its line end
/// @return bytes of an HTTP/1.1 request with `body` and its Content-Length
std::string make_http_request(std::string_view method, std::string_view path,
                              std::string_view headers, std::string_view body);

} // namespace agateledge

#endif
