// Guards against requests that run without a key of a client account, or under
// an account that their key does not belong to, and against keys that reach an
// engine or a log.
#include "account_directory.hpp"
#include "directory_codec.hpp"
#include "json_text.hpp"
#include "memory_in_use.hpp"
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

std::shared_ptr<account_directory const>
directory_of(std::vector<account_definition> const &definitions)
{
    return std::make_shared<account_directory const>(definitions);
}

/// Puts a new version with these accounts in force; `/look/` is public.
void set_accounts(proxy_fixture &daemon,
                  std::shared_ptr<account_directory const> accounts)
{
    auto next =
        std::make_shared<routing_configuration>(*daemon.state.proxy.routing);
    ++next->version;
    next->accounts = std::move(accounts);
    for (auto &route : next->routes)
    {
        route.is_public = route.name == "look";
        route.priority = 2;
    }
    daemon.state.proxy.set_routing(std::move(next));
}

class proxy_account : public testing::Test
{
protected:
    proxy_account()
    {
        set_accounts(daemon,
                     directory_of({{{"ash", 1}, {"key-1", "key-2"}},
                                   {{"elm", std::nullopt}, {"key-3"}}}));
        daemon.list_engines(1, engine_role::mixed);
        daemon.list_endpoints(1);
    }

    /// @return output after a request with this credential
    outbox send(std::string const &path, std::string const &credential)
    {
        daemon.credential = credential;
        daemon.send(path, path == "/once/1" ? 1 : 0, 10);
        return daemon.tick_now();
    }

    proxy_fixture daemon;
};

TEST_F(proxy_account, each_key_of_an_account_runs_under_its_name_and_priority)
{
    for (auto const *key : {"Bearer key-1", "Bearer key-2"})
    {
        auto const out = send("/once/1", key);
        ASSERT_EQ(out.proxy_calls.size(), 1U);
        EXPECT_EQ(out.proxy_calls[0].account, "ash");
        EXPECT_EQ(out.proxy_calls[0].priority, 1);
    }
    auto const out = send("/once/1", "Bearer key-3");
    ASSERT_EQ(out.proxy_calls.size(), 1U);
    EXPECT_EQ(out.proxy_calls[0].account, "elm");
    EXPECT_EQ(out.proxy_calls[0].priority, 2);
}

TEST_F(proxy_account, an_unknown_or_missing_key_is_refused_and_not_logged)
{
    for (auto const *key : {"", "Bearer ", "Bearer key-4", "key-1",
                            "Basic key-1", "Bearer key-1 "})
    {
        auto const out = send("/book/1", key);
        EXPECT_TRUE(out.proxy_calls.empty()) << key;
        ASSERT_EQ(out.proxy_answers.size(), 1U) << key;
        EXPECT_EQ(out.proxy_answers[0].status, 401) << key;
        for (auto const &entry : out.log_entries)
        {
            EXPECT_TRUE(std::ranges::none_of(
                entry.fields, [](auto const &field)
                { return field.second.find("key-") != std::string::npos; }));
        }
    }
    EXPECT_EQ(key_label("Bearer key-4"), sha256_of("key-4").substr(0, 8));
}

TEST_F(proxy_account, a_public_route_names_the_account_only_for_a_known_key)
{
    EXPECT_EQ(send("/look/1", "Bearer key-4").proxy_calls.at(0).account, "");
    EXPECT_EQ(send("/look/1", "Bearer key-3").proxy_calls.at(0).account, "elm");
    EXPECT_EQ(send("/none/1", "Bearer key-4").proxy_answers.at(0).status, 404);
}

TEST_F(proxy_account, without_accounts_a_request_needs_no_key)
{
    set_accounts(daemon, nullptr);
    EXPECT_FALSE(send("/book/1", "").proxy_calls.at(0).account.has_value());
}

TEST_F(proxy_account, a_daemon_without_a_configuration_does_not_refuse_a_key)
{
    daemon.state.proxy.set_routing(
        std::make_shared<routing_configuration const>());
    EXPECT_EQ(send("/book/1", "Bearer key-1").proxy_answers.at(0).status, 503);
}

TEST_F(proxy_account, a_withdrawn_key_is_refused_while_its_request_waits)
{
    auto const running = send("/book/1", "Bearer key-1").proxy_calls.at(0);
    for (auto const *key : {"Bearer key-1", "Bearer key-2", "Bearer key-3"})
    {
        daemon.credential = key;
        daemon.send("/book/1");
    }
    daemon.state.proxy.paused_instances.extend(
        incarnation_of(daemon.state.proxy.instances.find("desk-1")->definition),
        daemon.state.now + milliseconds(50));
    EXPECT_TRUE(daemon.tick_now().proxy_answers.empty());
    set_accounts(daemon, directory_of({{{"ash", 1}, {"key-2"}},
                                       {{"oak", 1}, {"key-3"}}}));
    auto const refused = daemon.tick_now().proxy_answers;
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 401);
    auto const out = daemon.advance(milliseconds(200));
    EXPECT_TRUE(out.proxy_answers.empty());
    EXPECT_TRUE(out.proxy_cancels.empty());
    ASSERT_EQ(out.proxy_calls.size(), 2U);
    EXPECT_EQ(out.proxy_calls[0].account, "ash");
    EXPECT_EQ(out.proxy_calls[1].account, "oak");
    daemon.reply_head(running.attempt, 200);
    daemon.reply_ends(running.attempt, proxy_event_kind::finished);
    EXPECT_EQ(daemon.tick_now().proxy_answers.at(0).status, 200);
}

TEST(account_headers, an_engine_gets_the_account_and_never_the_key)
{
    auto const codec = platform::make_codec();
    received_request received;
    received.method = "POST";
    received.headers = {{"Attempt-Id", "a"},
                        {"authorization", "Bearer key-1"},
                        {"tenant", "forged"},
                        {"TENANT", "forged"}};
    received.body = std::make_shared<std::string const>();
    auto const request = codec.decode_request(received);
    ASSERT_TRUE(request.ok());
    EXPECT_EQ(request->credential, "Bearer key-1");
    proxy_call call;
    call.content = std::make_shared<proxy_request const>(*request);
    auto const has = [&](std::string const &value)
    {
        return std::ranges::any_of(
            codec.encode_call(call).headers, [&value](auto const &header)
            { return header.second.find(value) != std::string::npos; });
    };
    EXPECT_TRUE(has("key-1") && has("forged"));
    call.account = "ash";
    EXPECT_TRUE(!has("key-1") && !has("forged") && has("ash"));
    call.account = "";
    EXPECT_TRUE(!has("key-1") && !has("forged"));
}

TEST(account_configuration, invalid_accounts_leave_the_version_before_in_force)
{
    auto const with = [](std::string const &accounts)
    {
        return platform::decode_configuration(
            R"({"version":1,"routes":[],"services":[],"tenants":)" + accounts +
            "}");
    };
    for (auto const *text :
         {"{}", "[1]", R"([{"api_keys":["secret"]}])", R"("secret")",
          R"([{"name":"ash","api_keys":["secret",7]}])",
          R"([{"name":"ash","api_keys":["secret",""]}])",
          R"([{"name":"as\nh","api_keys":["secret"]}])"})
    {
        auto const config = with(text);
        ASSERT_FALSE(config.ok()) << text;
        EXPECT_EQ(config.status().message().find("secret"), std::string::npos);
    }
    auto const twice = with(R"([{"name":"ash","api_keys":["k"],"priority":-3},)"
                            R"({"name":"elm","api_keys":["k"]}])");
    ASSERT_TRUE(twice.ok());
    EXPECT_EQ(twice->accounts->repeated_keys(), 1U);
    EXPECT_EQ(*twice->accounts->authenticate("Bearer k"),
              (client_account{"ash", 0}));
    EXPECT_EQ(with("[]")->accounts->authenticate("Bearer k"), nullptr);
}

// A limit on time would depend on the machine; the figures are recorded.
TEST(account_configuration, ten_thousand_keys_are_applied_as_a_difference)
{
    constexpr int keys = 10000;
    auto const text_with = [](int first)
    {
        Json::Value config;
        config["version"] = 1;
        for (int i = first; i < first + keys; ++i)
        {
            Json::Value account;
            account["name"] = "account-" + std::to_string(i);
            account["api_keys"].append("key-of-32-characters-or-so-" +
                                       std::to_string(i));
            config["tenants"].append(account);
        }
        return json_to_text(config);
    };
    auto const apply =
        [](std::string const &text, account_directory const *before)
    {
        auto const begin = std::chrono::steady_clock::now();
        auto const memory = static_cast<std::int64_t>(memory_in_use());
        auto config = platform::decode_configuration(text, before);
        std::chrono::duration<double, std::milli> const time =
            std::chrono::steady_clock::now() - begin;
        EXPECT_TRUE(config.ok());
        auto const added = static_cast<std::int64_t>(memory_in_use()) - memory;
        std::printf("%zu keys, %zu hashed: %.1f ms, %.0f kB\n",
                    config->accounts->keys(), config->accounts->hashed_keys(),
                    time.count(), static_cast<double>(added) / 1e3);
        EXPECT_LT(added, 40'000'000);
        return config->accounts;
    };
    auto const first_text = text_with(0);
    auto const next_text = text_with(10);
    auto const first = apply(first_text, nullptr);
    EXPECT_EQ(first->hashed_keys(), std::size_t{keys});
    auto const next = apply(next_text, first.get());
    EXPECT_EQ(next->hashed_keys(), 10U);
    auto const credential = std::string("Bearer key-of-32-characters-or-so-");
    EXPECT_EQ(next->authenticate(credential + "9"), nullptr);
    for (auto const i : {10, 5000, keys + 9})
    {
        auto const *account =
            next->authenticate(credential + std::to_string(i));
        ASSERT_NE(account, nullptr);
        EXPECT_EQ(account->name, "account-" + std::to_string(i));
    }
}

} // namespace
