#include "choose_messages_to_drop.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace
{

using namespace agateledge;

using indices = std::vector<std::size_t>;

TEST(choose_messages_to_drop, nothing_is_dropped_within_the_limit)
{
    EXPECT_EQ(choose_messages_to_drop({}, 0), indices());
    EXPECT_EQ(choose_messages_to_drop({{"a", 60}, {"b", 40}}, 100), indices());
}

TEST(choose_messages_to_drop, a_sender_of_many_messages_loses_its_largest)
{
    std::vector<held_message> const messages{
        {"sound", 50}, {"faulty", 20}, {"faulty", 30}, {"faulty", 25}};
    EXPECT_EQ(choose_messages_to_drop(messages, 110), indices({2}));
    EXPECT_EQ(choose_messages_to_drop(messages, 94), indices({2, 0}));
    EXPECT_EQ(choose_messages_to_drop(messages, 0), indices({2, 0, 3, 1}));
}

TEST(choose_messages_to_drop, an_idle_message_goes_before_one_with_progress)
{
    std::vector<held_message> const messages{{"a", 900, false, false, false},
                                             {"b", 100, true, false, true},
                                             {"b", 100, false, false, true},
                                             {"b", 100, false, true, true}};
    EXPECT_EQ(choose_messages_to_drop(messages, 900),
              (std::vector<std::size_t>{3, 2, 1}));
}

TEST(choose_messages_to_drop, messages_without_a_declared_length_go_first)
{
    std::vector<held_message> const messages{
        {"sound", 90, true}, {"faulty", 20}, {"sound", 10}, {"faulty", 5}};
    EXPECT_EQ(choose_messages_to_drop(messages, 110), indices({1}));
    EXPECT_EQ(choose_messages_to_drop(messages, 91), indices({1, 2, 3}));
    EXPECT_EQ(choose_messages_to_drop(messages, 50), indices({1, 2, 3, 0}));
}

} // namespace
