#ifndef AGATELEDGE_OPERATOR_LISTENER_HPP
#define AGATELEDGE_OPERATOR_LISTENER_HPP

#include "http_server.hpp"
#include "ids.hpp"
#include "latency_quantiles.hpp"
#include "outbox.hpp"
#include "settings.hpp"

#include "absl/status/status.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

class daemon_loop;
struct world;

/// HTTP listener for operators, separate from that of the callers. Serves POST
/// /v1/statements and /v1/log-level, which require a bearer token, and GET
/// /healthz and /metrics, which do not.
class operator_listener
{
public:
    /// @param state the daemon, for /healthz and /metrics
    /// @param loop receives the statements
    /// @param operators operators whose tokens are accepted
    operator_listener(world const &state, daemon_loop &loop,
                      std::vector<operator_settings> operators);

    /// Starts the listener.
    ///
    /// @param address IP address and port; port 0 selects a free one
    absl::Status start(std::string const &address);

    std::string address() const { return server_.address(); }

    /// Sends the result of a statement to the operator who sent it. Ignored
    /// when the operator has closed the connection.
    void reply(operator_reply const &answer);

private:
    using exchange = std::shared_ptr<http_exchange>;

    struct pending_statement
    {
        exchange request;
        instant received_at;
    };

    std::string authenticate(http_exchange const &request) const;
    void serve_statement(exchange const &request);
    void serve_log_level(exchange const &request);
    void serve_health(exchange const &request);
    void serve_metrics(exchange const &request);

    world const &state_;
    daemon_loop &loop_;
    std::vector<operator_settings> operators_;
    std::unordered_map<operator_call_number, pending_statement> pending_;
    std::uint64_t last_call_ = 0;
    latency_quantiles statement_times_;
    http_server server_;
};

/// @return the totals and gauges of a daemon in Prometheus text format
std::string metrics_text(world const &w,
                         latency_quantiles const &statement_times);

} // namespace agateledge

#endif
