#ifndef AGATELEDGE_ENGINE_SIMULATOR_HPP
#define AGATELEDGE_ENGINE_SIMULATOR_HPP

#include "proxy_messages.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

class proxy_fixture;

/// What callers of streamed requests got.
struct caller_outcomes
{
    /// Complete, with the first event and all event gaps within their limits.
    int in_time = 0;
    /// Complete, but with a late first event or too long a gap.
    int late = 0;
    /// Refused as not run, with a retry-after time.
    int refused = 0;
    /// Left by the caller because no event arrived, or failed.
    int unserved = 0;

    auto operator<=>(caller_outcomes const &) const = default;
};

/// Simulates model engines and callers around one daemon in virtual time. An
/// engine prefills one prompt after another, the most urgent first; an engine
/// in decode role does so between the events of its streams, which wait
/// meanwhile.
class engine_simulator
{
public:
    explicit engine_simulator(proxy_fixture &daemon) : daemon_(daemon) {}

    /// A caller sends a streamed request with a prompt that shares nothing.
    void send(std::string const &path, int prompt_tokens);

    /// Advances daemon, engines and callers.
    void advance(duration time);

    /// The engine no longer makes progress and answers nothing.
    void silence(std::string const &engine) { engines_[engine].silent = true; }

    /// @return outcomes so far of the requests sent to `path`
    caller_outcomes outcomes(std::string const &path) const;

private:
    /// Prompt that an engine has yet to prefill.
    struct pending_prompt
    {
        attempt_number attempt;
        int priority = 0;
        double tokens = 0;
        proxy_stage stage = proxy_stage::run;
    };

    struct open_stream
    {
        attempt_number attempt;
        int events_left = 0;
        /// Decoding time until the next event.
        duration next_event{};
    };

    struct engine
    {
        bool silent = false;
        std::vector<pending_prompt> prompts;
        std::vector<open_stream> streams;
    };

    struct caller
    {
        std::string path;
        instant sent_at{};
        duration target{};
        duration max_gap{};
        instant last_event{};
        duration longest_gap{};
        std::optional<duration> first_event;
        bool complete = false;
        bool refused = false;
        bool gone = false;
    };

    void accept_call(proxy_call const &call);
    void accept_answer(proxy_answer const &answer);
    void cancel(attempt_number attempt);
    void run_engine(engine &item, double tokens_per_ms);
    void run_streams(engine &item, duration time);
    void leave_overdue_requests();

    proxy_fixture &daemon_;
    std::map<std::string, engine> engines_;
    std::map<request_number, caller> callers_;
};

} // namespace agateledge

#endif
