#include "kept_connections.hpp"

#include "daemon_loop.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Time for which an idle connection is kept open.
constexpr duration max_idle_time = seconds(30);
constexpr guint expiry_check_seconds = 5;
/// Maximum number of idle connections to one server.
constexpr std::size_t max_idle_per_address = 32;

/// @return false when the server has closed the connection or has sent bytes
///         that no request asked for
bool is_quiet(GSocket *socket)
{
    return g_socket_condition_check(socket, G_IO_IN) == 0;
}

} // namespace

kept_connections::~kept_connections()
{
    if (timer_ != 0)
    {
        g_source_remove(timer_);
    }
}

gobject_ptr<GSocket> kept_connections::take(std::string const &address)
{
    auto const found = idle_.find(address);
    if (found == idle_.end())
    {
        return nullptr;
    }
    auto &connections = found->second;
    gobject_ptr<GSocket> out;
    while (!connections.empty() && !out)
    {
        auto last = std::move(connections.back());
        connections.pop_back();
        if (is_quiet(last.socket.get()))
        {
            out = std::move(last.socket);
        }
    }
    if (connections.empty())
    {
        idle_.erase(found);
    }
    return out;
}

void kept_connections::keep(std::string const &address,
                            gobject_ptr<GSocket> socket)
{
    auto &connections = idle_[address];
    if (connections.size() >= max_idle_per_address)
    {
        return;
    }
    connections.push_back({std::move(socket), daemon_loop::clock_now()});
    if (timer_ == 0)
    {
        timer_ = g_timeout_add_seconds(
            expiry_check_seconds,
            [](gpointer self) -> gboolean
            {
                auto *kept = static_cast<kept_connections *>(self);
                kept->close_expired();
                if (!kept->idle_.empty())
                {
                    return G_SOURCE_CONTINUE;
                }
                kept->timer_ = 0;
                return G_SOURCE_REMOVE;
            },
            this);
    }
}

void kept_connections::drop(std::string const &address)
{
    idle_.erase(address);
}

std::size_t kept_connections::size() const
{
    std::size_t total = 0;
    std::ranges::for_each(idle_, [&total](auto const &item)
                          { total += item.second.size(); });
    return total;
}

void kept_connections::close_expired()
{
    auto const now = daemon_loop::clock_now();
    std::ranges::for_each(
        idle_,
        [now](auto &item)
        {
            std::erase_if(item.second,
                          [now](idle_connection const &connection)
                          {
                              return now - connection.since >= max_idle_time ||
                                     !is_quiet(connection.socket.get());
                          });
        });
    std::erase_if(idle_, [](auto const &item) { return item.second.empty(); });
}

} // namespace agateledge
