#ifndef AGATELEDGE_SCRIPTED_HTTP_SERVER_HPP
#define AGATELEDGE_SCRIPTED_HTTP_SERVER_HPP

#include "gobject_ptr.hpp"

#include <libsoup/soup.h>

#include <functional>
#include <string>

namespace agateledge
{

/// HTTP server on a loopback port whose answers are set by the test.
class scripted_http_server
{
public:
    /// Called for each request; sets the answer or pauses the message.
    using handler =
        std::function<void(SoupServerMessage *message, std::string const &path,
                           std::string const &body)>;

    explicit scripted_http_server(handler on_request);
    ~scripted_http_server();
    scripted_http_server(scripted_http_server const &) = delete;
    scripted_http_server &operator=(scripted_http_server const &) = delete;

    /// @return IP address and port
    std::string const &address() const { return address_; }

    /// Closes the listener and all connections.
    void stop();

    /// Sets a complete answer with a JSON body.
    static void answer(SoupServerMessage *message, int status,
                       std::string const &body);

private:
    handler on_request_;
    gobject_ptr<SoupServer> server_;
    std::string address_;
};

} // namespace agateledge

#endif
