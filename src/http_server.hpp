#ifndef AGATELEDGE_HTTP_SERVER_HPP
#define AGATELEDGE_HTTP_SERVER_HPP

#include "block_text.hpp"
#include "connection_acceptor.hpp"
#include "gobject_ptr.hpp"
#include "http_server_limits.hpp"
#include "time.hpp"

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
/// together, are closed; see `connection_acceptor` for the other limits.
class http_server
{
public:
    /// Handles one request. A handler that calls `http_exchange::defer` may
    /// reply after it has returned.
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    explicit http_server(http_server_limits limits = {});
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

    connection_acceptor &acceptor() { return acceptor_; }

private:
    struct callbacks;
    struct path_handler;
    struct open_request
    {
        connection_acceptor::connection_key connection = nullptr;
        block_text body;
        /// Memory of the body.
        std::size_t held_bytes = 0;
        instant begun_at{};
        bool served = false;
    };

    void receive(SoupServerMessage *message, GBytes *chunk);
    std::string take_body(SoupServerMessage *message);
    void end(SoupServerMessage *message);
    void check_memory();
    bool close_stalled();

    gobject_ptr<SoupServer> server_;
    http_server_limits limits_;
    connection_acceptor acceptor_;
    std::string host_;
    /// Requests whose head is complete.
    std::unordered_map<SoupServerMessage *, open_request> open_;
    std::size_t held_bytes_ = 0;
};

} // namespace agateledge

#endif
