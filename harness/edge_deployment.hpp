#ifndef AGATELEDGE_EDGE_DEPLOYMENT_HPP
#define AGATELEDGE_EDGE_DEPLOYMENT_HPP

#include "daemon_process.hpp"
#include "http_script.hpp"
#include "raw_client.hpp"
#include "standin_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agateledge
{

/// One daemon on loopback ports with an engine, a plain service and a table
/// service whose answers a test scripts, all on the default main context.
class edge_deployment
{
public:
    /// @param adjust changes the settings before the start
    explicit edge_deployment(
        std::function<void(settings &)> const &adjust = {});

    /// @return port of the callers' listener
    int port() { return daemon->callers().gate().port(); }

    /// Sends one request with the test's token on a new connection and returns
    /// all that was received up to `until`.
    std::string call(std::string_view method, std::string_view path,
                     std::string_view headers, std::string_view body,
                     std::string_view until);

    /// Answers POST /v1/generate; by default three tokens "t0 t1 t2 ".
    http_script::handler on_generate;
    /// Answers calls of the plain service; by default {"seat":12}.
    http_script::handler on_service;
    /// Requests that the engine and the service have received, by path.
    std::map<std::string, int> requests;
    standin_table rows;
    std::unique_ptr<http_script> engine;
    std::unique_ptr<http_script> service;
    std::unique_ptr<http_script> table;
    std::unique_ptr<daemon_process> daemon;
};

/// Headers of the test's caller.
inline constexpr std::string_view caller_headers =
    "Authorization: Bearer stand-token\r\nContent-Type: application/json\r\n";

} // namespace agateledge

#endif
