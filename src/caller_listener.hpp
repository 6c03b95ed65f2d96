#ifndef AGATELEDGE_CALLER_LISTENER_HPP
#define AGATELEDGE_CALLER_LISTENER_HPP

#include "caller_directory.hpp"
#include "connection_gate.hpp"
#include "gobject_ptr.hpp"
#include "ids.hpp"
#include "settings.hpp"

#include "absl/status/status.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace agateledge
{

class caller_exchange;
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
    ~caller_listener();
    caller_listener(caller_listener const &) = delete;
    caller_listener &operator=(caller_listener const &) = delete;

    /// Begins to listen; see `connection_gate::start`.
    absl::Status start(std::string const &address, tls_settings const &tls);

    /// Writes what the systems answered.
    void reply(caller_reply const &reply);

    connection_gate &gate() { return gate_; }

    /// @return true while the reader of that engine stream has stalled
    bool is_held(std::string const &stream_key) const;

    /// @return exchanges that wait for an answer or are being answered
    std::size_t open_exchanges() const { return by_request_.size(); }

    /// Called when the reader of an engine stream stalls (true) or has drained
    /// (false).
    std::function<void(std::string const &stream_key, bool hold)> on_hold;

private:
    struct callbacks;

    void begin(SoupServerMessage *message);
    void check_headers(caller_exchange &exchange);
    void count_body(caller_exchange &exchange, std::int64_t bytes);
    void route(SoupServerMessage *message, std::string const &path);
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
    void end(SoupServerMessage *message);
    void depart(caller_exchange &exchange);
    void peer_closed(connection_gate::connection_key key);
    caller_exchange *find(SoupServerMessage *message);

    world const &state_;
    daemon_loop &loop_;
    signing_keys const &keys_;
    listener_limits limits_;
    caller_directory directory_;
    gobject_ptr<SoupServer> server_;
    connection_gate gate_;
    std::unordered_map<SoupServerMessage *, std::unique_ptr<caller_exchange>>
        exchanges_;
    std::unordered_map<request_number, caller_exchange *> by_request_;
    std::unordered_map<connection_gate::connection_key, SoupServerMessage *>
        by_connection_;
    std::unordered_set<std::string> held_keys_;
    std::uint64_t last_request_ = 0;
};

} // namespace agateledge

#endif
