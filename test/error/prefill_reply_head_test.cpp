// Guards against an announcement that is lost because it comes with a
// successful reply to a prefill call, which is not passed on to the caller.
#include "daemon_loop.hpp"
#include "fixed_reply_server.hpp"
#include "http_client.hpp"
#include "instance_client.hpp"
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "raw_client.hpp"
#include "world.hpp"

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace agateledge;

proxy_call prefill_call(std::string const &address)
{
    proxy_request content;
    content.caller_attempt = "a1";
    content.method = "POST";
    content.target = "/chat/1";
    content.body = std::make_shared<std::string const>("{}");
    proxy_call call;
    call.attempt = attempt_number(1);
    call.request = request_number(1);
    call.content = std::make_shared<proxy_request const>(content);
    call.instance = "i-1";
    call.address = address;
    call.stage = proxy_stage::prefill;
    call.connect_timeout = seconds(2);
    return call;
}

TEST(prefill_reply_head, a_prefill_reply_of_a_leaver_is_told)
{
    fixed_reply_server const server(
        "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 17\r\n\r\n"
        R"({"kv_handle":"h"})",
        connection_ending::keep_open);
    world state({"edge-1", incarnation_number(1), "zone-a", "127.0.0.1:1"}, 1);
    state.proxy.enabled = true;
    proxy_attempt attempt;
    attempt.attempt = attempt_number(1);
    attempt.stage = proxy_stage::prefill;
    attempt.instance = "i-1";
    attempt.incarnation = {"i-1", server.address(), 1};
    state.proxy.requests.add(attempt);
    daemon_loop loop(state);
    http_client http(connection_reuse::single_call);
    auto const codec = platform::make_codec();
    instance_client client(http, loop, codec);
    client.call(prefill_call(server.address()));
    EXPECT_TRUE(run_main_context_until(
        [&state] { return state.proxy.leaving_instances.size() == 1; }));
}

} // namespace
