// Guards against one unusable row of another writer that ends the daemon, is
// used as an instance or a peer, or hides the other rows of the table.
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "raw_client.hpp"
#include "row_client.hpp"
#include "scripted_http_server.hpp"
#include "world.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr char const *sound_entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","cold_remaining_ms":0,"stage":"decode",)"
    R"("sequence":4,"born":1700000000000})";

std::string replaced(std::string const &from, std::string const &to)
{
    std::string text = sound_entry;
    auto const place = text.find(from);
    EXPECT_NE(place, std::string::npos) << from;
    return text.replace(place, from.size(), to);
}

std::string repeated(std::string const &text, int count)
{
    std::string out;
    for (int i = 0; i < count; ++i)
    {
        out += text;
    }
    return out;
}

std::vector<std::string> unusable_ports()
{
    std::vector<std::string> out;
    for (auto const *address :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:80x",
          "10.0.0.1:99999999999999999999", "10.0.0.1:", "10.0.0.1", ":80", "",
          "10.0.0.1\\u0000:80", "10.0.0.1:80\\u0000", "10.0.0.1 :80",
          "name.example:80", "::1:80", "[10.0.0.1]:80", "[::1:80"})
    {
        out.push_back(replaced("10.0.0.1:80", address));
    }
    return out;
}

std::vector<std::string> unusable_numbers()
{
    std::vector<std::string> out;
    for (auto const *number : {"1e400", "-1e400", "1180591620717411303424",
                               "-1", "1e30", "\"64\"", "[]", "{}", "null"})
    {
        out.push_back(
            replaced(R"("slots":64)", R"("slots":)" + std::string(number)));
        out.push_back(replaced(R"("sequence":4)",
                               R"("sequence":)" + std::string(number)));
        out.push_back(replaced(R"("born":1700000000000)",
                               R"("born":)" + std::string(number)));
    }
    out.push_back(replaced(R"("slots":64)", R"("slots":1099511627776)"));
    out.push_back(
        replaced(R"("cold_remaining_ms":0)", R"("cold_remaining_ms":1e400)"));
    out.push_back(replaced("64", std::string(100'000, '9')));
    return out;
}

std::vector<std::string> unreadable_texts()
{
    return {"",
            "null",
            "7",
            "[]",
            "\"x\"",
            "{",
            std::string("\0\0", 2),
            "\xff\xfe\xfd",
            repeated("[", 100'000),
            repeated("[", 100'000) + repeated("]", 100'000),
            repeated(R"({"a":)", 50'000) + "1" + repeated("}", 50'000),
            replaced(R"("sequence":4)", R"("x":)" + repeated("[", 9000) +
                                            repeated("]", 9000) +
                                            R"(,"sequence":4)"),
            std::string(sound_entry) + "}",
            replaced(R"("zone":"z",)", ""),
            replaced(R"("ready")", R"("warm")"),
            replaced(R"("ready")", R"(["ready"])"),
            replaced(R"("decode")", R"({"decode":1})"),
            std::string(1'000'000, ' ')};
}

/// @return values of rows that name no usable instance
std::vector<std::string> unusable_entries()
{
    auto out = unusable_ports();
    std::ranges::move(unusable_numbers(), std::back_inserter(out));
    std::ranges::move(unreadable_texts(), std::back_inserter(out));
    return out;
}

std::string quoted_base64(std::string const &text)
{
    gchar *encoded = g_base64_encode(
        reinterpret_cast<guchar const *>(text.data()), text.size());
    std::string out = "\"" + std::string(encoded) + "\"";
    g_free(encoded);
    return out;
}

/// @param value JSON of the member `value`; empty for a row without it
std::string row_text(std::string const &key, int version,
                     std::string const &value)
{
    return R"({"part":"","key":")" + key + R"(","row_version":)" +
           std::to_string(version) +
           (value.empty() ? "" : R"(,"value":)" + value) + "}";
}

std::string rows_text(std::vector<std::string> const &rows, int version)
{
    std::string text = R"({"rows":[)";
    for (auto const &row : rows)
    {
        text += (text.back() == '[' ? "" : ",") + row;
    }
    return text + R"(],"truncated":false,"row_version":)" +
           std::to_string(version) + "}";
}

/// A daemon that follows the tables of a store over a socket.
class followed_store
{
public:
    /// @param table name of the only table that has rows
    explicit followed_store(std::string table)
        : table_(std::move(table)),
          server_([this](SoupServerMessage *message, std::string const &path,
                         std::string const &) { serve(message, path); }),
          codec(platform::make_codec()),
          state({"edge-1", incarnation_number(1), "z", "127.0.0.1:1"}, 1),
          loop_(state), rows_(http_, loop_, codec, server_.address())
    {
        state.proxy.enabled = true;
        loop_.handlers.read_rows = [this](row_read const &read)
        { rows_.read(read); };
        loop_.handlers.write_log = [this](log_entry const &entry)
        { log.push_back(entry); };
    }

    /// Follows the store until `done` returns true.
    bool follow_until(std::function<bool()> const &done)
    {
        loop_.input();
        return run_main_context_until(done, seconds(20));
    }

    bool lists(std::string const &id) const
    {
        return state.proxy.instances.find(id) != nullptr;
    }

    /// Rows of the full read, and of the change feed after it.
    std::vector<std::string> first_rows;
    std::vector<std::string> changed_rows;
    int first_version = 1;
    int changed_version = 1;
    /// Highest version after which changes were requested.
    int requested_version = 0;
    std::vector<log_entry> log;

private:
    std::string rows_of(SoupServerMessage *message, std::string const &path)
    {
        std::string const query =
            g_uri_get_query(soup_server_message_get_uri(message));
        bool const has_rows = query.find("table=" + table_ + "&") == 0;
        if (path == "/v1/rows-get")
        {
            return rows_text(has_rows ? first_rows : std::vector<std::string>(),
                             first_version);
        }
        auto const after = std::stoi(query.substr(query.find("after=") + 6));
        if (!has_rows || after >= changed_version)
        {
            requested_version = has_rows ? std::max(requested_version, after)
                                         : requested_version;
            return rows_text({}, after);
        }
        return rows_text(changed_rows, changed_version);
    }

    void serve(SoupServerMessage *message, std::string const &path)
    {
        scripted_http_server::answer(message, 200, rows_of(message, path));
    }

    std::string table_;
    scripted_http_server server_;

public:
    proxy_codec codec;
    world state;

private:
    http_client http_;
    daemon_loop loop_;
    row_client rows_;
};

std::size_t bytes_logged(std::vector<log_entry> const &log)
{
    std::size_t bytes = 0;
    for (auto const &entry : log)
    {
        for (auto const &[name, value] : entry.fields)
        {
            bytes += name.size() + value.size();
        }
    }
    return bytes;
}

/// Rows "odd-<number>" with the values `values`, between two sound ones.
std::vector<std::string> rows_with(std::vector<std::string> const &values,
                                   std::string const &prefix, int &version)
{
    auto const sound = quoted_base64(sound_entry);
    std::vector<std::string> out;
    out.push_back(row_text(prefix + "before", ++version, sound));
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        out.push_back(row_text(prefix + "odd-" + std::to_string(i), ++version,
                               values[i]));
    }
    out.push_back(row_text(prefix + "sound", ++version, sound));
    return out;
}

std::vector<std::string> odd_values()
{
    std::vector<std::string> out;
    std::ranges::transform(unusable_entries(), std::back_inserter(out),
                           quoted_base64);
    std::ranges::move(std::vector<std::string>{"", "7", "null", "[]", "{}",
                                               "\"\"", "\"*not base64*\""},
                      std::back_inserter(out));
    return out;
}

TEST(odd_entry, an_unusable_row_names_no_instance_and_hides_no_other)
{
    followed_store store("servers");
    auto const values = odd_values();
    store.first_rows = rows_with(values, "", store.first_version);
    store.changed_version = store.first_version;
    store.changed_rows = rows_with(values, "new-", store.changed_version);
    EXPECT_TRUE(store.follow_until(
        [&store] { return store.requested_version == store.changed_version; }));
    for (std::string const prefix : {"", "new-"})
    {
        EXPECT_TRUE(store.lists(prefix + "before"));
        EXPECT_TRUE(store.lists(prefix + "sound"));
        for (std::size_t i = 0; i < values.size(); ++i)
        {
            EXPECT_FALSE(store.lists(prefix + "odd-" + std::to_string(i)))
                << values[i].substr(0, 400);
        }
    }
    EXPECT_LT(bytes_logged(store.log), 500 * 2 * values.size());
}

TEST(odd_entry, an_unusable_row_ends_the_instance_that_it_replaces)
{
    followed_store store("servers");
    store.first_rows =
        rows_with({quoted_base64(sound_entry)}, "", store.first_version);
    store.changed_version = store.first_version + 1;
    store.changed_rows = {row_text("odd-0", store.changed_version,
                                   quoted_base64(repeated("[", 9000)))};
    EXPECT_TRUE(store.follow_until(
        [&store] { return store.requested_version == store.changed_version; }));
    EXPECT_FALSE(store.lists("odd-0"));
    EXPECT_TRUE(store.lists("sound"));
}

// The id of an instance is sent in a header, which cannot contain these.
TEST(odd_entry, a_key_that_no_header_can_hold_names_no_instance)
{
    followed_store store("servers");
    auto const sound = quoted_base64(sound_entry);
    for (auto const *key : {"", "a\\r\\nb", "a\\nb", "a\\u0000b", " a", "a b"})
    {
        store.first_rows.push_back(row_text(key, ++store.first_version, sound));
    }
    store.first_rows.push_back(row_text("sound", ++store.first_version, sound));
    store.changed_version = store.first_version;
    EXPECT_TRUE(store.follow_until([&store] { return store.lists("sound"); }));
    EXPECT_EQ(store.state.proxy.instances.all().size(), 1U);
}

TEST(odd_entry, an_unusable_row_of_a_daemon_gets_no_reports)
{
    followed_store store("agateledge");
    std::vector<std::string> values{"", "7", "[]", "\"*\""};
    for (std::string const address :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1\\u0000:80", ":80", "x"})
    {
        values.push_back(quoted_base64(R"({"data_centre":"z","address":")" +
                                       address + "\"}"));
    }
    values.push_back(quoted_base64(repeated("[", 100'000)));
    values.push_back(quoted_base64(R"({"data_centre":7,"address":{"a":[1]}})"));
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        store.first_rows.push_back(row_text("odd-" + std::to_string(i),
                                            ++store.first_version, values[i]));
    }
    store.first_rows.push_back(row_text(
        "sound", ++store.first_version,
        quoted_base64(R"({"data_centre":"z","address":"10.0.0.1:80"})")));
    auto const &daemons = store.state.proxy.daemons;
    EXPECT_TRUE(
        store.follow_until([&daemons] { return daemons.contains("sound"); }));
    for (auto const &[name, daemon] : daemons)
    {
        EXPECT_EQ(daemon.address, name == "sound" ? "10.0.0.1:80" : "") << name;
    }
}

} // namespace
