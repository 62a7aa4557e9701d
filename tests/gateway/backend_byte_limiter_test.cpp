#include <carawayloft/gateway/backend_byte_limiter.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static constexpr std::size_t mebibyte = std::size_t{1} << 20U;
static constexpr std::size_t typicalRequest = 2'000;

static const backend_id server("p1");

static backend_byte_limiter makeLimiter(std::uint32_t gateways)
{
    backend_byte_limiter limiter{backend_byte_limits{}};
    limiter.setGateways(gateways);
    return limiter;
}

/** Sends requests of @p bytes for as long as they are allowed, at most 100,000. */
static std::size_t fill(backend_byte_limiter &limiter, std::size_t bytes, std::uint64_t firstCall = 1)
{
    std::size_t sent = 0;
    while (sent < 100'000 && limiter.maySend(server, bytes)) {
        limiter.recordSend(backend_call_id(firstCall + sent), server, bytes);
        ++sent;
    }
    return sent;
}

// A server with 128 MB ended when the requests sent to it by all gateways took more than that.
TEST(BackendByteLimiter, AllGatewaysTogetherKeepTheBoundOrOneLargestRequestEach)
{
    const backend_byte_limits limits;
    const std::size_t leastShare = limits.largestRequest + mebibyte / 4;
    for (std::uint32_t gateways = 1; gateways <= 400; ++gateways) {
        const std::size_t most = std::max(limits.bound, gateways * leastShare);
        EXPECT_LE(gateways * makeLimiter(gateways).share(), most) << gateways;
        for (const std::size_t bytes : {std::size_t{600}, std::size_t{100'000}, mebibyte, limits.largestRequest}) {
            backend_byte_limiter limiter = makeLimiter(gateways);
            EXPECT_GE(fill(limiter, bytes), 1U) << gateways << " gateways, requests of " << bytes;
            EXPECT_LE(limiter.outstanding(server), limiter.share()) << gateways << " gateways, requests of " << bytes;
        }
    }
}

// Ordinary requests that used a share up kept a large one waiting until its caller gave up.
TEST(BackendByteLimiter, ARequestOfTheLargestSizeIsPossibleBesideAnyNumberOfSmallOnes)
{
    for (const std::uint32_t gateways : {1U, 3U, 15U, 52U, 390U}) {
        backend_byte_limiter limiter = makeLimiter(gateways);
        EXPECT_GE(fill(limiter, typicalRequest), 128U) << gateways;
        EXPECT_TRUE(limiter.maySend(server, backend_byte_limits().largestRequest)) << gateways;
    }
}

TEST(BackendByteLimiter, ALargeRequestLeavesRoomForSmallOnes)
{
    backend_byte_limiter limiter = makeLimiter(390);
    EXPECT_EQ(fill(limiter, 4 * mebibyte), 1U);
    EXPECT_GE(fill(limiter, typicalRequest, 10), 128U);
}

TEST(BackendByteLimiter, BytesCountUntilTheirCallEndsAndForTheirServerOnly)
{
    backend_byte_limiter limiter = makeLimiter(15);
    limiter.recordSend(backend_call_id(1), server, 4 * mebibyte);
    EXPECT_FALSE(limiter.maySend(server, 4 * mebibyte));
    EXPECT_TRUE(limiter.maySend(backend_id("p2"), 4 * mebibyte));
    EXPECT_EQ(limiter.mostOutstanding(), 4 * mebibyte);
    limiter.recordEnd(backend_call_id(1));
    limiter.recordEnd(backend_call_id(1));
    EXPECT_EQ(limiter.outstanding(server), 0U);
    EXPECT_TRUE(limiter.maySend(server, 4 * mebibyte));
}

// Until control has told the number of gateways, a share by one gateway would be the whole bound.
TEST(BackendByteLimiter, AssumesManyGatewaysUntilControlTellsTheNumber)
{
    EXPECT_EQ(backend_byte_limiter{backend_byte_limits{}}.share(), makeLimiter(32).share());
}
