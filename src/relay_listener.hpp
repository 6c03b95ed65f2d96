#ifndef AGATELEDGE_RELAY_LISTENER_HPP
#define AGATELEDGE_RELAY_LISTENER_HPP

#include "connection_gate.hpp"
#include "gobject_ptr.hpp"
#include "ids.hpp"
#include "relay_messages.hpp"

#include "absl/status/status.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace agateledge
{

class daemon_loop;
struct relay_codec;
struct world;

/// HTTP listener of the callers whose requests are passed on unchanged. It
/// bounds what callers send and how fast, and writes the answers.
class relay_listener
{
public:
    /// @param state the daemon, read for the bounds in force; outlives this
    /// @param loop takes arrivals and departures; outlives this
    /// @param codec decodes requests; outlives this
    /// @param limits bounds on connections
    relay_listener(world const &state, daemon_loop &loop,
                   relay_codec const &codec, listener_limits limits);
    ~relay_listener();
    relay_listener(relay_listener const &) = delete;
    relay_listener &operator=(relay_listener const &) = delete;

    /// Begins to listen; see `connection_gate::start`.
    absl::Status start(std::string const &address);

    /// Writes an answer, or the next part of one.
    void answer(relay_answer const &answer);

    /// Called when the reader of a stream stalls (true) or has drained (false).
    std::function<void(request_number, bool hold)> on_hold;

private:
    struct callbacks;
    struct exchange;

    exchange *find(SoupServerMessage *message);
    void begin(SoupServerMessage *message);
    void check_headers(exchange &item);
    void count_body(exchange &item, std::int64_t bytes);
    void take(exchange &item);
    void refuse(exchange &item, relay_answer const &answer);
    void refuse(exchange &item, result_code code, std::string const &message);
    void send_whole(exchange &item, relay_answer const &answer,
                    header_list const &headers, std::string const &body);
    void begin_stream(exchange &item, relay_answer const &answer);
    void write_part(exchange &item, std::string const &bytes);
    void wrote(exchange &item, std::int64_t bytes);
    void update_hold(exchange &item);
    void cut(exchange &item);
    void depart(exchange &item);
    void end(SoupServerMessage *message);
    void peer_closed(connection_gate::connection_key key);

    world const &state_;
    daemon_loop &loop_;
    relay_codec const &codec_;
    listener_limits limits_;
    gobject_ptr<SoupServer> server_;
    connection_gate gate_;
    std::unordered_map<SoupServerMessage *, std::unique_ptr<exchange>>
        exchanges_;
    std::unordered_map<request_number, exchange *> by_request_;
    std::unordered_map<connection_gate::connection_key, SoupServerMessage *>
        by_connection_;
    std::uint64_t last_request_ = 0;
};

} // namespace agateledge

#endif
