#ifndef AGATELEDGE_FIXED_REPLY_SERVER_HPP
#define AGATELEDGE_FIXED_REPLY_SERVER_HPP

#include "gobject_ptr.hpp"

#include <gio/gio.h>

#include <string>
#include <vector>

namespace agateledge
{

/// How a `fixed_reply_server` ends a connection after its reply.
enum class reply_ending
{
    keep_open,
    close,
    reset,
};

/// Server that answers the first bytes of each connection with fixed bytes,
/// whether or not they are HTTP.
class fixed_reply_server
{
public:
    fixed_reply_server(std::string reply, reply_ending ending);
    ~fixed_reply_server();
    fixed_reply_server(fixed_reply_server const &) = delete;
    fixed_reply_server &operator=(fixed_reply_server const &) = delete;

    /// @return IP address and port
    std::string address() const;

    /// Bytes that each connection sent first.
    std::vector<std::string> received;

private:
    void accept(GSocketConnection *stream);
    void serve(GSocket *socket);

    std::string reply_;
    reply_ending ending_;
    int port_ = 0;
    gobject_ptr<GSocketService> service_;
    std::vector<gobject_ptr<GSocketConnection>> connections_;
};

} // namespace agateledge

#endif
