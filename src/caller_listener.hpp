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

/// HTTP listener for callers. Parses and authenticates requests, queues them as
/// arrivals in the daemon's inbox, and writes the daemon's replies as HTTP
/// answers.
class caller_listener
{
public:
    /// @param state daemon state, read for the configuration; must outlive this
    ///        object
    /// @param loop receives arrivals and disconnects; must outlive this object
    /// @param keys keys that sign request ids; must outlive this object
    /// @param limits limits on requests and connections
    caller_listener(world const &state, daemon_loop &loop,
                    signing_keys const &keys, listener_limits limits);
    caller_listener(caller_listener const &) = delete;
    caller_listener &operator=(caller_listener const &) = delete;

    /// Starts listening; see `connection_acceptor::start`.
    absl::Status start(std::string const &address, tls_settings const &tls);

    /// Queues a reply of the daemon for its caller; `flush` writes it.
    void reply(caller_reply const &reply);

    /// Writes the replies queued since the last call. Replies to one caller are
    /// written together.
    void flush();

    connection_acceptor &acceptor() { return server_.acceptor(); }

    /// @return true while the caller that reads this engine stream has stalled
    bool is_paused(std::string const &stream_key) const;

    /// @return number of exchanges whose answer is not yet complete
    std::size_t open_exchanges() const { return by_request_.size(); }

    /// Called when the caller that reads an engine stream stalls (true) or has
    /// read all buffered bytes (false).
    std::function<void(std::string const &stream_key, bool paused)>
        on_backpressure;

private:
    void check_headers(caller_exchange &exchange);
    void count_body(caller_exchange &exchange, std::int64_t bytes);
    void route(caller_exchange &exchange, std::string_view path);
    void route_path(caller_exchange &exchange, std::string_view path);
    void accept_completion(caller_exchange &exchange, completion_kind kind);
    void accept_service(caller_exchange &exchange, std::string_view rest);
    void answer_health(caller_exchange &exchange);
    bool read_resume_point(caller_exchange &exchange, bool stream,
                           request_arrival &arrival);
    void submit(caller_exchange &exchange, request_arrival arrival);
    void record_written(caller_exchange &exchange, std::int64_t bytes);
    void set_stalled(caller_exchange &exchange, bool stalled);
    void update_backpressure(caller_exchange &exchange);
    void flush(caller_exchange &exchange);
    void handle_end(caller_exchange &exchange);
    void report_departure(caller_exchange &exchange);
    void handle_peer_closed(caller_exchange &exchange);

    world const &state_;
    daemon_loop &loop_;
    signing_keys const &keys_;
    listener_limits limits_;
    caller_directory directory_;
    exchange_server<caller_exchange> server_;
    std::unordered_map<request_number, caller_exchange *> by_request_;
    /// Requests with replies that `flush` has yet to write.
    std::vector<request_number> replied_;
    /// Keys of the engine streams whose caller has stalled.
    std::unordered_set<std::string> stalled_streams_;
    std::uint64_t last_request_ = 0;
};

} // namespace agateledge

#endif
