#ifndef AGATELEDGE_ENGINE_POLLER_HPP
#define AGATELEDGE_ENGINE_POLLER_HPP

#include "time.hpp"

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

/// Asks the configured engines in turn for their load and their cache events.
/// The number of calls a second is bounded, so that the interval per engine
/// grows with the fleet and the cost does not.
class engine_poller
{
public:
    /// @param state the daemon, read for its engines; outlives the poller
    /// @param http connections; outlives the poller
    /// @param loop takes the reports; outlives the poller
    engine_poller(world const &state, http_client &http, daemon_loop &loop);
    ~engine_poller();
    engine_poller(engine_poller const &) = delete;
    engine_poller &operator=(engine_poller const &) = delete;

    /// Begins to poll.
    void start();

private:
    struct engine_cursor
    {
        /// Sequence number of the last cache event that was read.
        std::uint64_t last_cache_event = 0;
        std::uint64_t generation = 0;
        bool polling = false;
    };

    void poll_next();
    void poll_load(engine_definition const &engine);
    void poll_cache(std::string const &name, std::string const &address);
    void schedule();

    world const &state_;
    http_client &http_;
    daemon_loop &loop_;
    std::unordered_map<std::string, engine_cursor> cursors_;
    std::size_t next_ = 0;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
