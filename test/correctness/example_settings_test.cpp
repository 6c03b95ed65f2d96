// Guards against example settings that the loader rejects, or whose numbers of
// engines, endpoints and data centres differ from those of the deployments.
#include "load_settings.hpp"
#include "settings.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace
{

using namespace agateledge;

std::set<std::string> data_centres_of(configuration const &config)
{
    std::set<std::string> names;
    std::ranges::for_each(config.engines,
                          [&names](engine_definition const &engine)
                          { names.insert(engine.data_centre); });
    return names;
}

settings load_example(char const *name)
{
    auto loaded = load_settings(std::string(SOURCE_DIR "/examples/") + name);
    EXPECT_TRUE(loaded.ok()) << loaded.status().message();
    return loaded.value_or(settings{});
}

TEST(example_settings, kerbrat_has_the_sizes_of_the_deployment)
{
    auto const config = load_example("kerbrat.toml").initial;
    EXPECT_EQ(config.engines.size(), 20U);
    EXPECT_EQ(config.endpoints.size(), 4U);
    EXPECT_EQ(
        data_centres_of(config),
        (std::set<std::string>{"rennes-a", "rennes-b", "brest", "vannes"}));
}

TEST(example_settings, bellhaven_has_the_sizes_of_the_deployment)
{
    auto const config = load_example("bellhaven.toml").initial;
    EXPECT_EQ(config.engines.size(), 20U);
    EXPECT_EQ(config.endpoints.size(), 3U);
    EXPECT_EQ(data_centres_of(config),
              (std::set<std::string>{"mobile-a", "mobile-b", "mobile-c"}));
}

} // namespace
