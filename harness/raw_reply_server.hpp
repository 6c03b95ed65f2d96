#ifndef AGATELEDGE_RAW_REPLY_SERVER_HPP
#define AGATELEDGE_RAW_REPLY_SERVER_HPP

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace agateledge
{

/// Server that keeps its connections open and answers each request on them
/// with bytes chosen by the test, which need not be one valid reply. It runs in
/// its own thread, so that it does not depend on the main loop of the code
/// under test.
class raw_reply_server
{
public:
    /// Chooses the bytes to send for a request; runs in the server's thread.
    ///
    /// @param index number of requests received on the connection before
    /// @param request head and body of the request
    using reply_hook =
        std::function<std::string(int index, std::string const &request)>;

    explicit raw_reply_server(reply_hook reply);
    ~raw_reply_server();
    raw_reply_server(raw_reply_server const &) = delete;
    raw_reply_server &operator=(raw_reply_server const &) = delete;

    /// @return IP address and port
    std::string address() const;

    /// @return connections accepted so far
    int connections() const { return connections_; }

    /// @return requests received so far
    int requests() const { return requests_; }

private:
    struct peer
    {
        int socket = -1;
        int requests = 0;
        std::string received;
    };

    void serve();
    void accept_peer();
    bool read_from(peer &from);
    void answer_requests(peer &from);

    reply_hook reply_;
    int listener_ = -1;
    std::atomic<int> connections_ = 0;
    std::atomic<int> requests_ = 0;
    std::atomic<bool> stopping_ = false;
    std::vector<peer> peers_;
    std::thread thread_;
};

} // namespace agateledge

#endif
