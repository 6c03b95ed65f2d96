#ifndef AGATELEDGE_CALLER_LISTENER_HPP
#define AGATELEDGE_CALLER_LISTENER_HPP

#include "caller_directory.hpp"
#include "caller_exchange.hpp"
#include "exchange_server.hpp"
#include "ids.hpp"
#include "settings.hpp"

#include "absl/status/status.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace agateledge
{

class daemon_loop;
class signing_keys;
enum class completion_kind;
struct caller_reply;
struct request_arrival;
struct world;

/// HTTP listener of the callers: it turns requests into arrivals and replies
/// into answers.
class caller_listener
{
public:
    /// @param state the daemon, read for its configuration; outlives this
    /// @param loop takes arrivals and departures; outlives this
    /// @param keys sign request ids; outlive this
    /// @param limits bounds on what callers may send
    caller_listener(world const &state, daemon_loop &loop,
                    signing_keys const &keys, listener_limits limits);
    caller_listener(caller_listener const &) = delete;
    caller_listener &operator=(caller_listener const &) = delete;

    /// Begins to listen; see `connection_gate::start`.
    absl::Status start(std::string const &address, tls_settings const &tls);

    /// Takes what the systems answered; `flush` writes it.
    void reply(caller_reply const &reply);

    /// Writes the replies that were taken since the last call, those to one
    /// caller together.
    void flush();

    connection_gate &gate() { return server_.gate(); }

    /// @return true while the reader of that engine stream has stalled
    bool is_held(std::string const &stream_key) const;

    /// @return exchanges that wait for an answer or are being answered
    std::size_t open_exchanges() const { return by_request_.size(); }

    /// Called when the reader of an engine stream stalls (true) or has drained
    /// (false).
    std::function<void(std::string const &stream_key, bool hold)> on_hold;

private:
    void check_headers(caller_exchange &exchange);
    void count_body(caller_exchange &exchange, std::int64_t bytes);
    void route(caller_exchange &exchange, std::string_view path);
    void route_path(caller_exchange &exchange, std::string_view path);
    void take_completion(caller_exchange &exchange, completion_kind kind);
    void take_service(caller_exchange &exchange, std::string_view rest);
    void take_health(caller_exchange &exchange);
    bool take_resume(caller_exchange &exchange, bool stream,
                     request_arrival &arrival);
    void submit(caller_exchange &exchange, request_arrival arrival);
    void wrote(caller_exchange &exchange, std::int64_t bytes);
    void set_held(caller_exchange &exchange, bool held);
    void update_hold(caller_exchange &exchange);
    void flush(caller_exchange &exchange);
    void end(caller_exchange &exchange);
    void depart(caller_exchange &exchange);
    void peer_closed(caller_exchange &exchange);

    world const &state_;
    daemon_loop &loop_;
    signing_keys const &keys_;
    listener_limits limits_;
    caller_directory directory_;
    exchange_server<caller_exchange> server_;
    std::unordered_map<request_number, caller_exchange *> by_request_;
    /// Requests with replies that have not been written.
    std::vector<request_number> replied_;
    std::unordered_set<std::string> held_keys_;
    std::uint64_t last_request_ = 0;
};

} // namespace agateledge

#endif
