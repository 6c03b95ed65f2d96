#ifndef AGATELEDGE_LIMITED_CLIENTS_HPP
#define AGATELEDGE_LIMITED_CLIENTS_HPP

#include "outbox.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agateledge
{

/// Counts the connections that were closed, and the requests that were refused,
/// because of a limit on clients, and chooses which of them are logged.
class limited_clients
{
public:
    /// @param client IP address of the client
    /// @param reason limit that was reached
    /// @return line to log; nothing within a second of the last line
    std::optional<log_entry> record(std::string const &client,
                                    char const *reason, instant now);

    /// @return counters in the Prometheus text format
    std::string metrics_text() const;

private:
    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t unlogged_ = 0;
    std::optional<instant> logged_at_;
};

} // namespace agateledge

#endif
