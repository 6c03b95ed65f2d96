#ifndef AGATELEDGE_PLATFORM_CLIENT_HPP
#define AGATELEDGE_PLATFORM_CLIENT_HPP

#include <memory>
#include <string>

namespace agateledge
{

class daemon_loop;
class http_client;
struct platform_call;
struct proxy_codec;

/// Client of the platform's service interface.
class platform_client
{
public:
    /// @param http client for the calls; must outlive this object
    /// @param loop receives the replies; must outlive this object
    /// @param codec encodes calls and decodes replies; must outlive this object
    /// @param address IP address and port of the service interface
    platform_client(http_client &http, daemon_loop &loop,
                    proxy_codec const &codec, std::string address);

    /// Starts a call; its reply is added to the inbox of the loop. Nothing is
    /// sent at or after `platform_call::not_after`, and bytes that wait in the
    /// kernel are discarded when the call times out.
    void call(std::shared_ptr<platform_call const> const &call);

    /// Changes the address for later calls.
    void set_address(std::string address) { address_ = std::move(address); }

private:
    http_client &http_;
    daemon_loop &loop_;
    proxy_codec const &codec_;
    std::string address_;
};

} // namespace agateledge

#endif
