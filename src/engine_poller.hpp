#ifndef AGATELEDGE_ENGINE_POLLER_HPP
#define AGATELEDGE_ENGINE_POLLER_HPP

#include "time.hpp"
#include "token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace agateledge
{

class daemon_loop;
class http_client;
struct engine_definition;
struct world;

/// Polls the configured engines for their load and their cache events; engines
/// with open requests have priority. A byte rate limit covers all polls, so
/// that with a larger fleet the interval per engine grows and the traffic does
/// not. Engines in use also report their load in the answers that they stream.
class engine_poller
{
public:
    /// @param state the daemon, read for its engines; outlives the poller
    /// @param http connections; outlives the poller
    /// @param loop receives the reports; outlives the poller
    engine_poller(world const &state, http_client &http, daemon_loop &loop);
    ~engine_poller();
    engine_poller(engine_poller const &) = delete;
    engine_poller &operator=(engine_poller const &) = delete;

    void start();

private:
    struct engine_cursor
    {
        /// Sequence number of the last cache event received.
        std::uint64_t last_cache_event = 0;
        std::uint64_t generation = 0;
        /// True while a load poll is in flight.
        bool polling = false;
        instant polled_at{};
        int polls = 0;
    };

    void poll_next();
    engine_definition const *choose_engine();
    void charge_poll(std::size_t reply_bytes);
    void poll_load(engine_definition const &engine);
    void poll_cache(std::string const &name, std::string const &address);
    void schedule();

    world const &state_;
    http_client &http_;
    daemon_loop &loop_;
    std::unordered_map<std::string, engine_cursor> cursors_;
    token_bucket byte_budget_;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
