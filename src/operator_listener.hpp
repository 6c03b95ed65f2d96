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

/// Listener for operators, on an address of its own: POST /v1/statements and
/// /v1/log-level with a bearer token, GET /healthz and /metrics without one.
class operator_listener
{
public:
    /// @param state the daemon, for /healthz and /metrics
    /// @param loop takes the statements
    /// @param operators who may use the listener
    operator_listener(world const &state, daemon_loop &loop,
                      std::vector<operator_settings> operators);

    /// Begins to listen.
    ///
    /// @param address IP address and port; port 0 takes a free one
    absl::Status start(std::string const &address);

    std::string address() const { return server_.address(); }

    /// Sends the answer of a statement to the operator who waits for it.
    void reply(operator_reply const &answer);

private:
    using exchange = std::shared_ptr<http_exchange>;

    struct waiting_call
    {
        exchange request;
        instant since;
    };

    std::string authenticate(http_exchange const &request) const;
    void serve_statement(exchange const &request);
    void serve_log_level(exchange const &request);
    void serve_health(exchange const &request);
    void serve_metrics(exchange const &request);

    world const &state_;
    daemon_loop &loop_;
    std::vector<operator_settings> operators_;
    std::unordered_map<operator_call_number, waiting_call> waiting_;
    std::uint64_t last_call_ = 0;
    latency_quantiles statement_times_;
    http_server server_;
};

/// @return the totals and gauges of a daemon in Prometheus text format
std::string metrics_text(world const &w,
                         latency_quantiles const &statement_times);

} // namespace agateledge

#endif
