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

/// Totals of a `load_client`.
struct load_totals
{
    int requests = 0;
    /// Answered whole: the text is what the engine stand-in generates, or the
    /// endpoint confirmed the booking.
    int answered = 0;
    int answered_in_time = 0;
    int not_run = 0;
    int unknown = 0;
    /// Ended in any other way, or with a wrong text.
    int failed = 0;

    int ended() const { return answered + not_run + unknown + failed; }

    auto operator<=>(load_totals const &) const = default;
};

/// Caller that sends a mix of requests at a fixed rate over HTTP and checks
/// every answer. Repeats some bookings under the same key.
class load_client
{
public:
    /// @param config classes and services of the deployment
    /// @param daemons addresses of the callers' listeners, used in turn
    /// @param token bearer token of the caller
    /// @param seed seed of the mix
    load_client(configuration const &config, std::vector<std::string> daemons,
                std::string token, std::uint64_t seed);
    ~load_client();

    /// Sends `requests` requests, `per_second` of them a second.
    ///
    /// @param on_done runs once, after the last request has ended
    void start(int requests, double per_second, std::function<void()> on_done);

    load_totals const &totals() const { return totals_; }

private:
    struct open_request;

    void send_next();
    http_request make_model_request(open_request &request);
    http_request make_service_request(open_request &request);
    std::string booking_key();
    void receive(open_request &request, std::string_view bytes);
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
    int left_ = 0;
    std::string last_booking_;
    unsigned timer_ = 0;
    std::function<void()> on_done_;
};

} // namespace agateledge

#endif
