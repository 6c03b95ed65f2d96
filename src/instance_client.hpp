#ifndef AGATELEDGE_INSTANCE_CLIENT_HPP
#define AGATELEDGE_INSTANCE_CLIENT_HPP

#include "ids.hpp"
#include "relay_messages.hpp"

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
struct relay_codec;

/// Calls to engines and endpoints whose requests and replies are passed on
/// unchanged. Each call uses a connection of its own, so that a failed connect
/// is certainly not a run and no late reply is read in place of another.
class instance_client
{
public:
    /// @param http makes the calls; outlives this
    /// @param loop takes the progress of calls; outlives this
    /// @param codec encodes calls and decodes replies; outlives this
    instance_client(http_client &http, daemon_loop &loop,
                    relay_codec const &codec);

    void call(relay_call const &call);
    void cancel(relay_cancel const &cancel);
    void release(kv_release const &release);

    /// Pauses or continues reading the reply to a request's open call.
    void hold(request_number request, bool hold);

private:
    struct open_call
    {
        request_number request;
        std::shared_ptr<http_call> http;
        /// Body of a prefill's reply, which is not passed on.
        std::string prefill_body;
        int status = 0;
    };

    void take_head(relay_call const &call, int status, header_list headers);
    void take_bytes(relay_call const &call, std::string_view bytes);
    void take_prefill_bytes(relay_call const &call, std::string_view bytes);
    void take_end(relay_call const &call, http_outcome outcome);
    void forget(attempt_number attempt);

    http_client &http_;
    daemon_loop &loop_;
    relay_codec const &codec_;
    std::unordered_map<attempt_number, open_call> open_;
    std::unordered_map<request_number, attempt_number> by_request_;
};

} // namespace agateledge

#endif
