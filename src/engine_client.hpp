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

/// Carries out the calls to engines: streams of answers, cancels and orders.
class engine_client
{
public:
    /// @param http connections; outlives the client
    /// @param loop takes the events of the streams; outlives the client
    engine_client(http_client &http, daemon_loop &loop);
    ~engine_client();
    engine_client(engine_client const &) = delete;
    engine_client &operator=(engine_client const &) = delete;

    /// Opens the stream of one attempt.
    void call(engine_call const &call);

    /// Closes the stream of an attempt and tells the engine to stop it.
    void cancel(attempt_cancel const &cancel);

    /// Sends an order; its reply arrives as `order_reply`.
    void send_order(order_call const &call);

    /// Stops or continues reading the stream of that key, because its reader
    /// has stalled or drained; unknown keys are ignored.
    void hold_stream(std::string const &stream_key, bool hold);

    /// @return true while the reader of that stream has stalled; asked when a
    ///         stream opens
    std::function<bool(std::string const &stream_key)> is_held;

    std::size_t open_streams() const { return streams_.size(); }

private:
    struct stream;

    void on_status(stream &item, int status);
    void on_bytes(stream &item, std::string_view bytes);
    bool on_data(stream &item, std::string_view data);
    void on_end(stream &item, http_outcome outcome);
    void end_with(stream &item, engine_event_kind kind);
    void forget(stream const &item);

    http_client &http_;
    daemon_loop &loop_;
    std::unordered_map<attempt_number, std::shared_ptr<stream>> streams_;
    std::unordered_map<std::string, attempt_number> by_key_;
};

} // namespace agateledge

#endif
