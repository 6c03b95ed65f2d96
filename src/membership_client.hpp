#ifndef AGATELEDGE_MEMBERSHIP_CLIENT_HPP
#define AGATELEDGE_MEMBERSHIP_CLIENT_HPP

#include "random_source.hpp"
#include "time.hpp"

#include <string>

namespace agateledge
{

class daemon_loop;
class http_client;
struct http_reply;

/// Polls the platform's list of hosts with GET /v1/hosts. While the platform
/// does not answer, the last list stays in use.
class membership_client
{
public:
    /// @param http sends the requests; outlives the client
    /// @param loop receives the reports; outlives the client
    /// @param address IP address and port of the platform; empty for none
    /// @param seed seed of the jitter of the back-off
    membership_client(http_client &http, daemon_loop &loop, std::string address,
                      std::uint64_t seed);
    ~membership_client();
    membership_client(membership_client const &) = delete;
    membership_client &operator=(membership_client const &) = delete;

    /// Starts polling; does nothing without an address.
    void start();

private:
    void poll();
    void handle_reply(http_reply const &reply);
    void poll_after(duration delay);

    http_client &http_;
    daemon_loop &loop_;
    std::string address_;
    random_source random_;
    int failures_ = 0;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
