#ifndef AGATELEDGE_HTTP_SERVER_HPP
#define AGATELEDGE_HTTP_SERVER_HPP

#include "absl/status/status.h"

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>

namespace agateledge
{

class http_exchange;

/// HTTP server on the default GLib main context, for the stand-ins.
class http_server
{
public:
    /// Serves one request; the reply may come after the handler has returned
    /// if it calls `http_exchange::defer`.
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    http_server();
    ~http_server();
    http_server(http_server const &) = delete;
    http_server &operator=(http_server const &) = delete;

    /// Serves `path` and all below it by `serve`.
    void add(char const *path, handler serve);

    /// Begins to listen.
    ///
    /// @param address IP address and port; port 0 takes a free one
    /// @return `settings_invalid` for an address that is malformed or in use
    absl::Status listen(std::string const &address);

    /// @return the IP address and port that the server listens on
    std::string address() const;

private:
    SoupServer *server_;
};

} // namespace agateledge

#endif
