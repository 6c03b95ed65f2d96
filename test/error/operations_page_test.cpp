// Guards against log events of the proxy that docs/OPERATIONS.md does not list,
// and against names of the platform's wire protocol in src/, which belong in
// platform/ only.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace
{

std::string text_of(std::filesystem::path const &path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

std::set<std::string> matches(std::string const &text, std::regex const &form)
{
    std::set<std::string> out;
    std::transform(std::sregex_iterator(text.begin(), text.end(), form),
                   std::sregex_iterator(), std::inserter(out, out.end()),
                   [](std::smatch const &match) { return match[1].str(); });
    return out;
}

std::filesystem::path const root = SOURCE_DIR;

TEST(operations_page, lists_the_events_of_the_proxy)
{
    auto const page = text_of(root / "docs" / "OPERATIONS.md");
    std::regex const event(
        R"re("((?:request|call|caller|instance|store|daemon|configuration|retry|stop|history|prompt|log_lines)_[a-z_]+)",?\s*(?:\{\{|\\"|,|\}))re");
    for (auto const *file :
         {"admit_proxied_requests.cpp", "advance_proxied_requests.cpp",
          "update_directory.cpp", "poll_store.cpp", "eject_instances.cpp",
          "place_proxied_requests.cpp", "proxy_lifecycle.cpp", "stop_proxy.cpp",
          "record_leaving_instances.cpp", "record_instance_pauses.cpp",
          "follow_store_era.cpp", "share_store_reads.cpp",
          "authenticate_proxied_requests.cpp", "assign_engine_roles.cpp"})
    {
        for (auto const &name : matches(text_of(root / "src" / file), event))
        {
            EXPECT_NE(page.find("`" + name + "`"), std::string::npos)
                << file << ": " << name;
        }
    }
}

TEST(operations_page, names_of_the_platform_stay_in_their_folder)
{
    std::regex const name(
        R"re(("(?:AGATELEDGE_BOOT|Attempt-Id|Deadline-Ms|Prompt-Prefix|Token-Count|Target-Instance|Server-Signature|Not-Executed|Server-Leaving|Kv-Source|Request-Priority|Tenant|api_keys|/v1/rows-[a-z]+|/v1/kv-handle[^"]*|kv_handle|route_type|traffic_split)[^"]*"))re");
    for (auto const &entry : std::filesystem::directory_iterator(root / "src"))
    {
        auto const found = matches(text_of(entry.path()), name);
        EXPECT_TRUE(found.empty())
            << entry.path() << ": " << (found.empty() ? "" : *found.begin());
    }
}

} // namespace
