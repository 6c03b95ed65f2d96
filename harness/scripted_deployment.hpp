#ifndef AGATELEDGE_SCRIPTED_DEPLOYMENT_HPP
#define AGATELEDGE_SCRIPTED_DEPLOYMENT_HPP

#include "daemon_process.hpp"
#include "raw_client.hpp"
#include "scripted_http_server.hpp"
#include "standin_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agateledge
{

/// One daemon with an engine, a plain service and a table service, on loopback
/// ports and the default main context. The test sets the answers of the engine
/// and of the service; the table service is a stand-in.
class scripted_deployment
{
public:
    /// @param adjust changes the settings before the daemon starts
    explicit scripted_deployment(
        std::function<void(settings &)> const &adjust = {});

    /// @return port of the callers' listener
    int port() { return daemon->callers().acceptor().port(); }

    /// Sends one request with `caller_headers` on a new connection.
    ///
    /// @param until text at which reading stops
    /// @return all bytes received until `until` or a time-out
    std::string call(std::string_view method, std::string_view path,
                     std::string_view headers, std::string_view body,
                     std::string_view until);

    /// Handles POST /v1/generate; by default generates the three tokens
    /// "t0 t1 t2 ".
    scripted_http_server::handler on_generate;
    /// Handles calls of the plain service; by default answers {"seat":12}.
    scripted_http_server::handler on_service_request;
    /// Number of requests that the engine and the service received, by path.
    std::map<std::string, int> request_counts;
    /// Content of the table service.
    standin_table rows;
    std::unique_ptr<scripted_http_server> engine;
    std::unique_ptr<scripted_http_server> service;
    std::unique_ptr<scripted_http_server> table;
    std::unique_ptr<daemon_process> daemon;
};

/// Headers that authenticate the caller of the test.
inline constexpr std::string_view caller_headers =
    "Authorization: Bearer stand-token\r\nContent-Type: application/json\r\n";

} // namespace agateledge

#endif
