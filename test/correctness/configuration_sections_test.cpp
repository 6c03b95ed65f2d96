// Guards against a split into sections that loses parts of a configuration, or
// that makes a small change rewrite many sections.
#include "configuration_sections.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace
{

using namespace agateledge;

constexpr int account_count = 26000;

configuration large_configuration()
{
    configuration config;
    config.revision = revision_number(7);
    config.services = {{"assistant", false, "manual"}};
    config.engines.resize(600);
    for (std::size_t i = 0; i < config.engines.size(); ++i)
    {
        config.engines[i].name = "engine-" + std::to_string(i);
        config.engines[i].data_centre = "dc-" + std::to_string(i % 11);
    }
    for (int i = 0; i < account_count; ++i)
    {
        config.callers.push_back({"caller-" + std::to_string(i), "account",
                                  std::string(64, 'a'), 1, 1});
    }
    return config;
}

template <class Item>
std::vector<Item> sorted(std::vector<Item> items)
{
    std::ranges::sort(items);
    return items;
}

TEST(configuration_sections, split_and_join_keep_everything)
{
    auto const config = large_configuration();
    section_documents documents;
    auto const index = split_configuration(config, documents);
    auto const parsed =
        configuration_index_from_json(configuration_index_to_json(index));
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(*parsed, index);
    auto const joined = join_configuration(*parsed, documents);
    ASSERT_TRUE(joined.ok());
    EXPECT_EQ(joined->revision, config.revision);
    EXPECT_EQ(joined->services, config.services);
    EXPECT_EQ(joined->policy, config.policy);
    EXPECT_EQ(sorted(joined->engines), sorted(config.engines));
    EXPECT_EQ(sorted(joined->callers), sorted(config.callers));
}

TEST(configuration_sections, a_change_of_one_caller_touches_one_section)
{
    auto config = large_configuration();
    section_documents documents;
    auto const before = split_configuration(config, documents);
    auto const document_count = documents.size();
    config.callers[5].requests_per_second = 2;
    auto const after = split_configuration(config, documents);
    EXPECT_EQ(documents.size(), document_count + 1);
    // The budget for control traffic is 8 KB/s. With 2,100 changes a day, that
    // is 8 KB/s * 86,400 s / 2,100 = 329 KB for a change.
    constexpr std::size_t max_change_bytes = 329000;
    std::size_t bytes = configuration_index_to_json(after).size();
    for (auto const &[name, digest] : after.sections)
    {
        if (before.sections.at(name) != digest)
        {
            bytes += documents.at(digest)->size();
        }
    }
    EXPECT_LT(bytes, max_change_bytes);
}

// Guards against putting an empty configuration in force when the row holds
// another kind of document. Every request was then refused for an unknown
// model.
TEST(configuration_sections, an_index_without_sections_is_refused)
{
    EXPECT_FALSE(configuration_index_from_json(R"({"revision":3})").ok());
    EXPECT_FALSE(configuration_index_from_json("[]").ok());
}

TEST(configuration_sections, a_missing_section_is_refused)
{
    section_documents documents;
    auto const index = split_configuration(large_configuration(), documents);
    documents.erase(index.sections.at("base"));
    EXPECT_FALSE(join_configuration(index, documents).ok());
}

} // namespace
