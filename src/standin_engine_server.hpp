#ifndef AGATELEDGE_STANDIN_ENGINE_SERVER_HPP
#define AGATELEDGE_STANDIN_ENGINE_SERVER_HPP

#include "http_server.hpp"
#include "standin_engine.hpp"

#include <map>
#include <memory>
#include <string>

namespace agateledge
{

/// HTTP server that runs an engine stand-in in real time. Implements the
/// protocol of the daemon's engine client: /v1/generate, /v1/cancel,
/// /v1/orders, /v1/load, /v1/cache_events, /v1/kv/export and /v1/kv/import.
class standin_engine_server
{
public:
    explicit standin_engine_server(standin_engine_options options);
    ~standin_engine_server();

    /// @param address IP address and port; port 0 selects a free port
    absl::Status listen(std::string const &address);
    std::string address() const { return server_.address(); }

    standin_engine &model() { return model_; }

private:
    using exchange = std::shared_ptr<http_exchange>;

    void generate(exchange const &request);
    void attach(exchange const &request, std::string const &key, int offset);
    void cancel(exchange const &request);
    void order(exchange const &request);
    void load(exchange const &request);
    void cache_events(exchange const &request);
    void kv_transfer(exchange const &request);
    void advance();
    void schedule_step();
    void write_event(standin_event const &event);

    standin_engine model_;
    http_server server_;
    /// Open event streams by stream key.
    std::map<std::string, exchange> open_responses_;
    unsigned timer_source_ = 0;
};

/// Length of the answer that the engine stand-in generates, in tokens: the
/// number after "len=" in the prompt if there is one, otherwise a length
/// derived from the seed; at most `max_tokens`.
int standin_answer_length(std::string const &prompt, std::uint64_t seed,
                          int max_tokens);

} // namespace agateledge

#endif
