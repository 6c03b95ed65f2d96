#ifndef AGATELEDGE_ENGINE_CLIENT_HPP
#define AGATELEDGE_ENGINE_CLIENT_HPP

#include "ids.hpp"
#include "outbox.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace agateledge
{

class daemon_loop;
class http_call;
class http_client;
enum class http_outcome;

/// Sends requests to engines: generation streams, cancels and orders.
class engine_client
{
public:
    /// @param http connections; outlives the client
    /// @param loop receives the events of the streams; outlives the client
    engine_client(http_client &http, daemon_loop &loop);
    ~engine_client();
    engine_client(engine_client const &) = delete;
    engine_client &operator=(engine_client const &) = delete;

    /// Starts an attempt and streams its events into the inbox.
    void call(engine_call const &call);

    /// Closes the stream of an attempt and requests the engine to stop it.
    void cancel(attempt_cancel const &cancel);

    /// Sends an order; its reply arrives as `order_reply`.
    void send_order(order_call const &call);

    /// Pauses or resumes reading a stream from the engine, so that a slow
    /// caller does not fill this daemon's buffers. Unknown keys are ignored.
    ///
    /// @param paused true when the caller has stalled, false once its buffer
    ///        has drained
    void pause_stream(std::string const &stream_key, bool paused);

    /// @return true while the caller that reads this stream has stalled;
    ///         called when a stream opens
    std::function<bool(std::string const &stream_key)> is_paused;

    std::size_t open_streams() const { return streams_.size(); }

private:
    struct stream;

    void on_status(stream &item, int status);
    void on_bytes(stream &item, std::string_view bytes);
    bool on_data(stream &item, std::string_view data);
    void on_end(stream &item, http_outcome outcome);
    void finish_stream(stream &item, engine_event_kind kind);
    void remove_stream(stream const &item);

    http_client &http_;
    daemon_loop &loop_;
    std::unordered_map<attempt_number, std::shared_ptr<stream>> streams_;
    std::unordered_map<std::string, attempt_number> attempts_by_key_;
};

} // namespace agateledge

#endif
