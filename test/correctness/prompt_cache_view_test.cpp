// Guards against a view of an engine's prefix cache that grows with the length
// of the prompts that callers send.
#include "cache_messages.hpp"
#include "prompt_cache_view.hpp"

#include <gtest/gtest.h>

#include <cstdint>

namespace
{

using namespace agateledge;

constexpr std::size_t max_entries = 8192;

/// @return a chain of `count` prefixes that no other chain contains
prompt_chain chain_of(std::uint64_t id, int count)
{
    prompt_chain chain;
    for (int i = 1; i <= count; ++i)
    {
        chain.push_back({(id << 32U) + static_cast<std::uint64_t>(i), i});
    }
    return chain;
}

TEST(prompt_cache_view, prompts_of_many_parts_keep_it_within_its_bound)
{
    prompt_cache_view view;
    for (std::uint64_t id = 1; id <= 20; ++id)
    {
        view.record_prompt(chain_of(id, 1500), instant(seconds(id)));
        EXPECT_LE(view.size(), max_entries);
    }
}

TEST(prompt_cache_view, the_parts_used_last_are_kept)
{
    prompt_cache_view view;
    for (std::uint64_t id = 1; id <= 20; ++id)
    {
        view.record_prompt(chain_of(id, 1500), instant(seconds(id)));
        view.mark_prefilled(chain_of(id, 1500));
    }
    EXPECT_EQ(view.cached_tokens(chain_of(20, 1500), instant(seconds(30))),
              1500);
    EXPECT_EQ(view.cached_tokens(chain_of(17, 1500), instant(seconds(30))),
              1500);
    EXPECT_EQ(view.cached_tokens(chain_of(1, 1500), instant(seconds(30))), 0);
}

TEST(prompt_cache_view, a_prompt_longer_than_the_bound_is_recorded_in_part)
{
    prompt_cache_view view;
    view.record_prompt(chain_of(1, 20'000), instant(seconds(1)));
    EXPECT_LE(view.size(), max_entries);
    EXPECT_GT(view.size(), 0U);
}

} // namespace
