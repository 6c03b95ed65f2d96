#ifndef AGATELEDGE_INSTANCE_CLIENT_HPP
#define AGATELEDGE_INSTANCE_CLIENT_HPP

#include "ids.hpp"
#include "proxy_messages.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace agateledge
{

class daemon_loop;
class http_call;
class http_client;
enum class http_outcome;
struct proxy_codec;

/// Client for proxied calls to engines and endpoints. Each call uses a new
/// connection: if it cannot be established, the request was certainly not
/// executed, and a late reply to an earlier call cannot be taken for the reply
/// to this one.
class instance_client
{
public:
    /// @param http client for the calls; must outlive this object
    /// @param loop receives the events of the calls; must outlive this object
    /// @param codec encodes calls and decodes replies; must outlive this object
    instance_client(http_client &http, daemon_loop &loop,
                    proxy_codec const &codec);

    /// Starts a call.
    void call(proxy_call const &call);

    /// Cancels a call; without effect when it has ended.
    void cancel(proxy_cancel const &cancel);

    /// Frees a KV cache at an engine; errors are ignored.
    void release(kv_release const &release);

    /// Flow control: pauses or resumes reading the reply to a request's call.
    ///
    /// @param paused true to pause, false to resume
    void set_paused(request_number request, bool paused);

    /// Called when the first byte of a call is sent, with the time since the
    /// instance was chosen.
    std::function<void(proxy_call const &, duration)> on_send;

private:
    struct open_call
    {
        request_number request;
        std::shared_ptr<http_call> http;
        /// Body of the reply to a prefill call, which is not forwarded.
        std::string prefill_body;
        int status = 0;
    };

    void handle_head(proxy_call const &call, int status, header_list headers);
    void handle_bytes(proxy_call const &call, std::string_view bytes);
    void handle_prefill_bytes(proxy_call const &call, std::string_view bytes);
    void handle_end(proxy_call const &call, http_outcome outcome);
    void remove_call(attempt_number attempt);

    http_client &http_;
    daemon_loop &loop_;
    proxy_codec const &codec_;
    std::unordered_map<attempt_number, open_call> open_;
    std::unordered_map<request_number, attempt_number> by_request_;
};

} // namespace agateledge

#endif
