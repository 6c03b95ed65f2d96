#ifndef AGATELEDGE_HTTP_SERVER_HPP
#define AGATELEDGE_HTTP_SERVER_HPP

#include "absl/status/status.h"

#include <libsoup/soup.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace agateledge
{

class http_exchange;

/// HTTP server on the default GLib main context, for internal endpoints and the
/// stand-ins. Connections whose request bodies take too much memory, alone or
/// together, are closed.
class http_server
{
public:
    /// Handles one request. A handler that calls `http_exchange::defer` may
    /// reply after it has returned.
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    http_server();
    ~http_server();
    http_server(http_server const &) = delete;
    http_server &operator=(http_server const &) = delete;

    /// Calls `serve` for requests to `path` and to paths below it.
    void add(char const *path, handler serve);

    /// Starts listening.
    ///
    /// @param address IP address and port; port 0 takes a free one
    /// @return `settings_invalid` for an address that is malformed or in use
    absl::Status listen(std::string const &address);

    /// @return the IP address and port that the server listens on
    std::string address() const;

private:
    struct callbacks;

    void check_memory();

    SoupServer *server_;
    /// Requests that are open, with the bytes received of their bodies.
    std::unordered_map<SoupServerMessage *, std::size_t> open_;
    std::size_t body_bytes_ = 0;
};

} // namespace agateledge

#endif
