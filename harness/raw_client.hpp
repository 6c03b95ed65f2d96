#ifndef AGATELEDGE_RAW_CLIENT_HPP
#define AGATELEDGE_RAW_CLIENT_HPP

#include "time.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace agateledge
{

/// Runs the default main context until `done` holds.
///
/// @return false when `limit` has passed before
bool run_until(std::function<bool()> const &done, duration limit = seconds(5));

/// Caller that writes bytes to a socket as it likes, in the same thread as the
/// daemon under test.
class raw_client
{
public:
    /// Connects to a loopback port.
    explicit raw_client(int port);
    ~raw_client();
    raw_client(raw_client const &) = delete;
    raw_client &operator=(raw_client const &) = delete;

    /// Sends all bytes while the main context runs.
    ///
    /// @return false when the connection was cut
    bool send(std::string_view bytes);

    /// Reads until `text` has arrived, and runs the main context meanwhile.
    ///
    /// @return false when it did not arrive in time
    bool read_until(std::string_view text, duration limit = seconds(5));

    /// @return true when the daemon closed the connection in time
    bool read_until_closed(duration limit = seconds(5));

    /// Reads what has arrived.
    void read_available();

    /// Closes the sending side only.
    void shut_down_sending();

    void close();

    /// Bytes received so far.
    std::string received;
    bool closed = false;

private:
    int socket_;
};

/// @return HTTP/1.1 request with `body` and its length
std::string http_text(std::string_view method, std::string_view path,
                      std::string_view headers, std::string_view body);

} // namespace agateledge

#endif
