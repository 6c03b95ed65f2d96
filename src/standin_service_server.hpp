#ifndef AGATELEDGE_STANDIN_SERVICE_SERVER_HPP
#define AGATELEDGE_STANDIN_SERVICE_SERVER_HPP

#include "http_server.hpp"
#include "standin_service.hpp"
#include "time.hpp"

#include <string>

namespace agateledge
{

/// HTTP server for one endpoint of the plain service stand-in. Several
/// endpoints share one model. GET /effects returns the number of effects by
/// idempotency key, for tests.
class standin_service_server
{
public:
    /// @param model the service; outlives the server
    /// @param latency time from the effect of a call to its response
    explicit standin_service_server(standin_service &model,
                                    duration latency = milliseconds(2));

    /// @param address IP address and port; port 0 selects a free port
    absl::Status listen(std::string const &address);
    std::string address() const { return server_.address(); }

private:
    void serve(std::shared_ptr<http_exchange> const &request);
    void list_effects(std::shared_ptr<http_exchange> const &request) const;

    standin_service &model_;
    duration latency_;
    http_server server_;
};

} // namespace agateledge

#endif
