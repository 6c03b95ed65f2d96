#ifndef AGATELEDGE_VIRTUAL_CALLERS_HPP
#define AGATELEDGE_VIRTUAL_CALLERS_HPP

#include "example_deployment.hpp"
#include "ids.hpp"
#include "outbox.hpp"
#include "random_source.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace agateledge
{

class virtual_deployment;

/// Simulated callers of a virtual deployment. They retry bookings and resume
/// answers at other daemons, and check every reply against an oracle that
/// observes the effects. A violated guarantee fails an internal assertion.
class virtual_callers
{
public:
    /// @param deployment daemons to call; its hooks are installed here
    /// @param example classes and services to call
    /// @param seed seed of the callers' decisions
    virtual_callers(virtual_deployment &deployment,
                    example_deployment const &example, std::uint64_t seed);

    /// Starts the generation of calls.
    ///
    /// @param interval mean time between two calls; the times are exponentially
    ///        distributed
    void begin(duration interval);

    /// Starts no further calls.
    void end() { ended_ = true; }

    /// Closes the connections to a daemon that has ended; their callers retry
    /// at another daemon.
    ///
    /// @param planned true after a planned shutdown, which must leave no
    ///        request open
    void handle_daemon_end(std::size_t daemon, bool planned);

    /// Lets the caller of a randomly chosen open stream reconnect, possibly at
    /// another daemon.
    void reconnect_random_stream();

    /// Lets the caller of a randomly chosen open booking send it again,
    /// possibly to another daemon.
    void repeat_random_booking();

    /// @return true when every call has ended
    bool all_ended() const { return open_calls_ == 0; }

    /// @return description of the first open call for a violation's message, or
    ///         "none"
    std::string open_call() const;

    std::uint64_t requests() const { return requests_; }
    std::uint64_t answered() const { return answered_; }

private:
    enum class call_kind
    {
        model,
        booking,
        status,
        outcome,
    };

    /// One call, which may take several tries.
    struct caller_call
    {
        call_kind kind = call_kind::model;
        class_shape shape;
        std::uint64_t seed = 0;
        std::string key;
        int received = 0;
        bool accepted = false;
        resume_point place;
        int tries = 0;
        int open_tries = 0;
        int effects = 0;
        /// For a query of an outcome: index of the booking, and how often it
        /// had been tried when the query was created.
        std::size_t booking = 0;
        int booking_tries_at_query = 0;
        bool ended = false;
    };

    /// One request to one daemon on behalf of a call.
    struct caller_try
    {
        std::size_t call = 0;
        std::size_t daemon = 0;
        bool open = true;
        bool had_effect = false;
        bool reported_not_run = false;
        std::uint64_t progress = 0;
    };

    void plan_call(duration interval);
    void start_call();
    void send(std::size_t call);
    request_arrival arrival_of(caller_call const &call) const;
    void watch_progress(request_number request, std::uint64_t progress);
    void close(request_number request);
    void end_call(caller_call &call);
    void schedule_retry(std::size_t call, duration delay);
    void handle_reply(std::size_t daemon, caller_reply const &reply);
    void handle_chunk(caller_try &item, caller_reply const &reply);
    void handle_finished(caller_try &item, caller_reply const &reply);
    void handle_refused(caller_try &item, caller_reply const &reply);
    void handle_outcome(caller_call const &query,
                        std::string const &text) const;
    void handle_effect(request_number request);
    void query_outcome(std::size_t booking);

    virtual_deployment &deployment_;
    example_deployment example_;
    random_source random_;
    bool ended_ = false;
    std::vector<caller_call> calls_;
    std::map<request_number, caller_try> tries_;
    std::set<request_number> open_tries_;
    std::size_t open_calls_ = 0;
    std::uint64_t last_request_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t answered_ = 0;
};

} // namespace agateledge

#endif
