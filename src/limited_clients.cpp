#include "limited_clients.hpp"

#include <sstream>
#include <utility>

namespace agateledge
{

namespace
{

/// Shortest time between two lines, so that a crowd does not displace other
/// lines of the log.
constexpr duration log_interval = seconds(1);

} // namespace

std::optional<log_entry> limited_clients::record(std::string const &client,
                                                 char const *reason,
                                                 instant now)
{
    ++counts_[reason];
    if (logged_at_ && now - *logged_at_ < log_interval)
    {
        ++unlogged_;
        return std::nullopt;
    }
    logged_at_ = now;
    return log_entry{
        log_level::warning,
        "client_limited",
        {{"client", client},
         {"reason", reason},
         {"unlogged", std::to_string(std::exchange(unlogged_, 0))}}};
}

std::string limited_clients::metrics_text() const
{
    std::ostringstream out;
    out << "# TYPE agateledge_relay_limited_clients_total counter\n";
    for (auto const &[reason, count] : counts_)
    {
        out << "agateledge_relay_limited_clients_total{reason=\"" << reason
            << "\"} " << count << "\n";
    }
    return out.str();
}

} // namespace agateledge
