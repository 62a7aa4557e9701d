#include "ends/address_limit.h"

#include <gtest/gtest.h>

using namespace carawayloft;

static const asio::ip::address one = asio::ip::make_address("127.0.0.1");
static const asio::ip::address other = asio::ip::make_address("127.0.0.2");

// One client took every connection of a port.
TEST(AddressLimit, AnAddressHasNoMoreConnectionsThanTheLimitAndLeavesTheOthersTheirs)
{
    address_limit limit(2);
    limit.add(one);
    EXPECT_TRUE(limit.mayAdd(one));
    limit.add(one);
    EXPECT_FALSE(limit.mayAdd(one));
    EXPECT_TRUE(limit.mayAdd(other));
    limit.remove(one);
    EXPECT_TRUE(limit.mayAdd(one));
}

// A count that fell below zero would have shut the address out for good.
TEST(AddressLimit, AnUnknownAddressIsNotCountedDown)
{
    address_limit limit(1);
    limit.remove(one);
    EXPECT_EQ(limit.connections(one), 0U);
    EXPECT_TRUE(limit.mayAdd(one));
}

// Callers may share one address, so without a setting there is no limit.
TEST(AddressLimit, ZeroIsNoLimit)
{
    address_limit limit(0);
    for (int i = 0; i < 1'000; ++i) {
        ASSERT_TRUE(limit.mayAdd(one));
        limit.add(one);
    }
}
