// Guards against accepting calls between daemons that are forged, replayed, or
// addressed to another daemon or another incarnation, and against heartbeats
// that lose or change a field when they are encoded and decoded.
#include "apply_configuration.hpp"
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "json_text.hpp"
#include "peer_client.hpp"
#include "peer_listener.hpp"
#include "peer_messages.hpp"
#include "signing_keys.hpp"
#include "world.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <functional>

namespace agateledge
{
namespace
{

constexpr std::uint64_t receiver_start = 7;

heartbeat full_heartbeat()
{
    heartbeat message;
    message.from = "daemon-1";
    message.incarnation = incarnation_number(5);
    message.data_centre = "brest";
    message.address = "127.0.0.1:9";
    message.sequence = 4;
    message.answered_sequence = 3;
    message.revision = revision_number(12);
    message.revision_age_us = 1500;
    message.draining = true;
    message.shares = {{"engine-1", 3, 4000, 2}};
    message.demand = {{"stand \"12\"", "form-hint", 2.5}};
    message.changes = {{"engine-2", 9, 250}};
    return message;
}

peer_envelope call_of(std::uint64_t counter)
{
    peer_envelope call;
    call.method = heartbeat_method;
    call.sender = "daemon-1";
    call.incarnation = incarnation_number(5);
    call.counter = counter;
    call.receiver = "daemon-2";
    call.receiver_incarnation = incarnation_number(receiver_start);
    call.body = heartbeat_to_text(full_heartbeat());
    return call;
}

std::string text_of(peer_envelope const &call)
{
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = call.method;
    request["params"] = envelope_to_json(call);
    return json_to_text(request);
}

class peer_rpc : public testing::Test
{
protected:
    peer_rpc()
        : state({"daemon-2", incarnation_number(receiver_start), "brest", ""},
                1),
          loop(state), keys({"first-key-0123456789"}), server(state, loop, keys)
    {
    }

    /// @return the error code of the response; 0 for a result
    int error_of(peer_envelope const &call)
    {
        auto const response = json_from_text(server.respond(text_of(call)));
        return response.ok() ? (*response)["error"]["code"].asInt() : -1;
    }

    peer_envelope signed_call(std::uint64_t counter)
    {
        auto call = call_of(counter);
        sign_envelope(call, keys);
        return call;
    }

    world state;
    daemon_loop loop;
    signing_keys keys;
    peer_rpc_server server;
};

TEST(peer_messages, a_heartbeat_reads_back_as_it_was)
{
    auto const message = full_heartbeat();
    EXPECT_EQ(*heartbeat_from_text(heartbeat_to_text(message)), message);
}

TEST_F(peer_rpc, accepts_a_call_once)
{
    EXPECT_EQ(error_of(signed_call(1)), 0);
    EXPECT_EQ(error_of(signed_call(1)), peer_rpc_server::unauthenticated_error);
    EXPECT_EQ(error_of(signed_call(3)), 0);
    EXPECT_EQ(error_of(signed_call(2)), 0);
    EXPECT_EQ(state.in.heartbeats.size(), 3U);
}

TEST_F(peer_rpc, refuses_a_call_that_was_changed)
{
    std::vector<std::function<void(peer_envelope &)>> const changes = {
        [](peer_envelope &call) { call.method = fetch_configuration_method; },
        [](peer_envelope &call) { call.sender = "daemon-3"; },
        [](peer_envelope &call) { call.incarnation = incarnation_number(6); },
        [](peer_envelope &call) { ++call.counter; },
        [](peer_envelope &call) { call.receiver = "daemon-3"; },
        [](peer_envelope &call) { call.body = "{}"; },
        [](peer_envelope &call) { call.signature[0] ^= 1; }};
    for (auto const &change : changes)
    {
        auto call = signed_call(1);
        change(call);
        EXPECT_EQ(error_of(call), peer_rpc_server::unauthenticated_error);
    }
    EXPECT_TRUE(state.in.heartbeats.empty());
}

TEST_F(peer_rpc, refuses_a_call_to_an_earlier_incarnation)
{
    auto call = call_of(1);
    call.receiver_incarnation = incarnation_number(receiver_start - 1);
    sign_envelope(call, keys);
    EXPECT_EQ(error_of(call), peer_rpc_server::other_incarnation_error);
    EXPECT_TRUE(state.in.heartbeats.empty());
}

TEST_F(peer_rpc, accepts_both_keys_during_a_rotation)
{
    auto const old_call = signed_call(1);
    keys = signing_keys({"second-key-0123456789", "first-key-0123456789"});
    EXPECT_EQ(error_of(old_call), 0);
    EXPECT_EQ(error_of(signed_call(2)), 0);
    auto const late_call = signed_call(3);
    keys = signing_keys({"third-key-0123456789"});
    EXPECT_EQ(error_of(late_call), peer_rpc_server::unauthenticated_error);
}

/// Two daemons that call each other over loopback.
class peer_pair : public testing::Test
{
protected:
    peer_pair()
        : caller({"daemon-1", incarnation_number(5), "brest", ""}, 1),
          callee({"daemon-2", incarnation_number(receiver_start), "brest", ""},
                 1),
          caller_loop(caller), callee_loop(callee),
          keys({"first-key-0123456789"}),
          client(caller.identity, http, caller_loop, keys),
          listener(callee, callee_loop, keys)
    {
        EXPECT_TRUE(listener.start("127.0.0.1:0").ok());
        configuration config;
        config.revision = revision_number(3);
        activate_configuration(callee, config);
        caller_loop.handlers.call_peer = [](peer_call const &) {};
    }

    /// Runs the main loop until `done` returns true, for at most a second.
    ///
    /// @return the last result of `done`
    bool run_until(std::function<bool()> const &done)
    {
        auto const end = daemon_loop::clock_now() + seconds(1);
        while (!done() && daemon_loop::clock_now() < end)
        {
            g_main_context_iteration(nullptr, FALSE);
        }
        return done();
    }

    void call()
    {
        client.call({"daemon-2", listener.address(), full_heartbeat()});
    }

    world caller;
    world callee;
    daemon_loop caller_loop;
    daemon_loop callee_loop;
    signing_keys keys;
    http_client http;
    peer_client client;
    peer_listener listener;
};

TEST_F(peer_pair, learns_the_incarnation_and_then_exchanges_heartbeats)
{
    auto const received = [this]
    {
        auto const peer = caller.peers.states.find("daemon-2");
        return peer != caller.peers.states.end() &&
               peer->second.last_heartbeat_at;
    };
    call();
    EXPECT_FALSE(run_until(received));
    call();
    EXPECT_TRUE(run_until(received));
    EXPECT_EQ(callee.peers.states.at("daemon-1").revision, revision_number(12));
}

TEST_F(peer_pair, fetches_the_configuration)
{
    auto const fetched = [this]
    { return caller.config.revision == revision_number(3); };
    call();
    EXPECT_FALSE(run_until(fetched));
    client.fetch({"daemon-2", listener.address()});
    EXPECT_TRUE(run_until(fetched));
}

} // namespace
} // namespace agateledge
