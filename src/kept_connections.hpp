#ifndef AGATELEDGE_KEPT_CONNECTIONS_HPP
#define AGATELEDGE_KEPT_CONNECTIONS_HPP

#include "gobject_ptr.hpp"
#include "time.hpp"

#include <gio/gio.h>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Open connections to servers that wait for a further request.
class kept_connections
{
public:
    kept_connections() = default;
    ~kept_connections();
    kept_connections(kept_connections const &) = delete;
    kept_connections &operator=(kept_connections const &) = delete;

    /// @param address IP address and port
    /// @return a connection that can carry a request; null when there is none.
    ///         One on which the server has sent something or which it has
    ///         closed is not returned.
    gobject_ptr<GSocket> take(std::string const &address);

    /// Keeps a connection whose last reply was read to its end.
    void keep(std::string const &address, gobject_ptr<GSocket> socket);

    /// Closes all connections to a server that are kept.
    void drop(std::string const &address);

    /// @return number of connections that are kept
    std::size_t size() const;

private:
    struct idle_connection
    {
        gobject_ptr<GSocket> socket;
        instant since{};
    };

    void close_expired();

    std::unordered_map<std::string, std::vector<idle_connection>> idle_;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
