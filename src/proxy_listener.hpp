#ifndef AGATELEDGE_PROXY_LISTENER_HPP
#define AGATELEDGE_PROXY_LISTENER_HPP

#include "ids.hpp"
#include "proxy_messages.hpp"
#include "random_source.hpp"
#include "settings.hpp"

#include "absl/status/status.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace agateledge
{

class connection_acceptor;
class daemon_loop;
template <class Exchange>
class exchange_server;
struct proxy_codec;
struct world;

/// HTTP listener for proxied requests, which are forwarded unchanged. Enforces
/// the limits on size and time of requests, and writes the answers.
class proxy_listener
{
public:
    /// @param state daemon state, read for the current limits; must outlive
    ///        this object
    /// @param loop receives arrivals and disconnects; must outlive this object
    /// @param codec decodes requests; must outlive this object
    /// @param limits limits on connections
    proxy_listener(world const &state, daemon_loop &loop,
                   proxy_codec const &codec, listener_limits limits);
    ~proxy_listener();
    proxy_listener(proxy_listener const &) = delete;
    proxy_listener &operator=(proxy_listener const &) = delete;

    /// Starts listening; see `connection_acceptor::start`.
    absl::Status start(std::string const &address);

    /// Writes a complete answer, or the start, the next chunk or the end of a
    /// streamed one.
    void answer(proxy_answer const &answer);

    connection_acceptor &acceptor();

    /// @return true while a further connection would be accepted
    bool can_accept() const;

    /// Asked for each new request, before it is decoded; a request that is not
    /// admitted is refused as not run. Empty to admit all.
    std::function<bool()> admits_request;

    /// Called when the reader of a stream stalls (true) or has read all
    /// buffered bytes (false).
    std::function<void(request_number, bool paused)> on_backpressure;

private:
    class exchange;

    void check_headers(exchange &item);
    void count_body(exchange &item, std::int64_t bytes);
    void accept_request(exchange &item, std::string const &path);
    void refuse(exchange &item, proxy_answer const &answer);
    void refuse_overload(exchange &item, std::string const &reason);
    void refuse(exchange &item, result_code code, std::string const &message);
    void send_complete(exchange &item, proxy_answer const &answer,
                       header_list const &headers, std::string const &body);
    void begin_stream(exchange &item, proxy_answer const &answer);
    void write_chunk(exchange &item, std::string const &bytes);
    void record_written(exchange &item, std::int64_t bytes);
    void update_backpressure(exchange &item);
    void abort_exchange(exchange &item);
    void report_departure(exchange &item);
    void handle_end(exchange &item);
    void handle_peer_closed(exchange &item);

    world const &state_;
    daemon_loop &loop_;
    proxy_codec const &codec_;
    listener_limits limits_;
    std::unique_ptr<exchange_server<exchange>> server_;
    std::unordered_map<request_number, exchange *> by_request_;
    random_source random_;
    std::uint64_t last_request_ = 0;
};

} // namespace agateledge

#endif
