#ifndef AGATELEDGE_LOAD_CLIENT_HPP
#define AGATELEDGE_LOAD_CLIENT_HPP

#include "configuration.hpp"
#include "http_client.hpp"
#include "random_source.hpp"
#include "time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

/// Counts of the requests of a `load_client` by outcome.
struct load_totals
{
    int requests = 0;
    /// Complete answers: the text is the one that the engine stand-in
    /// generates, or the endpoint confirmed the booking.
    int answered = 0;
    int answered_in_time = 0;
    /// Errors that state that the request was not run.
    int not_run = 0;
    /// Bookings that may have had an effect: any other error or no answer.
    int unknown = 0;
    /// Requests with any other outcome or a wrong text.
    int failed = 0;

    int ended() const { return answered + not_run + unknown + failed; }

    auto operator<=>(load_totals const &) const = default;
};

/// Load generator that sends a mix of requests over HTTP at a fixed rate and
/// checks every answer. Repeats some bookings with the same idempotency key.
class load_client
{
public:
    /// @param config classes and services of the deployment
    /// @param daemons addresses of the callers' listeners, one chosen at random
    ///        for each request
    /// @param token bearer token of the caller
    /// @param seed seed of the random choice of requests
    load_client(configuration const &config, std::vector<std::string> daemons,
                std::string token, std::uint64_t seed);
    ~load_client();

    /// Starts to send requests.
    ///
    /// @param requests number of requests
    /// @param per_second rate in requests per second; at most 1000
    /// @param on_done called once, after the last request has ended
    void start(int requests, double per_second, std::function<void()> on_done);

    load_totals const &totals() const { return totals_; }

private:
    struct open_request;

    void send_next();
    http_request make_model_request(open_request &request);
    http_request make_service_request(open_request &request);
    std::string booking_key();
    void consume_bytes(open_request &request, std::string_view bytes);
    void finish(open_request &request, http_outcome outcome);
    void count(open_request const &request, http_outcome outcome);
    void count_refusal(open_request const &request);
    static void log_failure(open_request const &request, char const *event);

    configuration config_;
    std::vector<std::string> daemons_;
    std::string token_;
    random_source random_;
    http_client client_;
    load_totals totals_;
    int remaining_requests_ = 0;
    std::string last_booking_key_;
    unsigned timer_ = 0;
    std::function<void()> on_done_;
};

} // namespace agateledge

#endif
