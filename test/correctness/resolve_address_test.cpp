// Guards against a command-line client that takes IP addresses only.
#include "resolve_address.hpp"
#include "socket_address.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

TEST(resolve_address, a_host_name_becomes_an_address_that_can_be_called)
{
    EXPECT_TRUE(is_peer_address(resolve_address("localhost:8081")));
    EXPECT_EQ(resolve_address("127.0.0.1:8081"), "127.0.0.1:8081");
    EXPECT_EQ(resolve_address("[::1]:8081"), "[::1]:8081");
}

TEST(resolve_address, text_that_is_no_address_stays)
{
    EXPECT_EQ(resolve_address("no such host:x"), "no such host:x");
    EXPECT_EQ(resolve_address(""), "");
}

} // namespace
