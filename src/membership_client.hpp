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

/// Polls the platform's list of hosts, GET /v1/hosts. The last list stays in
/// use while the platform does not answer.
class membership_client
{
public:
    /// @param http connections; outlives the client
    /// @param loop takes the reports; outlives the client
    /// @param address IP address and port of the platform; empty for none
    /// @param seed seed of the random part of the waits
    membership_client(http_client &http, daemon_loop &loop, std::string address,
                      std::uint64_t seed);
    ~membership_client();
    membership_client(membership_client const &) = delete;
    membership_client &operator=(membership_client const &) = delete;

    /// Begins to poll.
    void start();

private:
    void poll();
    void take(http_reply const &reply);
    void poll_in(duration wait);

    http_client &http_;
    daemon_loop &loop_;
    std::string address_;
    random_source random_;
    int failures_ = 0;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
