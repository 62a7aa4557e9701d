#include <carawayloft/gateway/fleet_limiter.h>

#include "support/properties.h"

using namespace carawayloft;

static const service_id service("records");
static const backend_id backend("b-1");
static const time_point start(std::chrono::hours(1));

static fleet_limits makeLimits()
{
    return {0.2, 60.0, duration(10'000), 1.5, 5.0};
}

TEST(FleetLimiter, ANewGatewayHasNoRetrySlackForOneWindow)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(1, start);
    EXPECT_FALSE(limiter.takeRetry(service, start));
    EXPECT_TRUE(limiter.takeRetry(service, start + duration(10'000)));
}

TEST(FleetLimiter, RequestsAddToTheRetryBudget)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(3, start);
    for (int i = 0; i < 100; ++i) {
        limiter.countRequest(service, start);
    }
    int taken = 0;
    while (limiter.takeRetry(service, start)) {
        ++taken;
    }
    EXPECT_GT(taken, 10);
    EXPECT_LE(taken, 20);
}

TEST(FleetLimiter, AllGatewaysTogetherKeepTheRetryLimit)
{
    EXPECT_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 6);
        std::vector<fleet_limiter> gateways(count, fleet_limiter(makeLimits()));
        std::deque<time_point> retries;
        std::deque<time_point> requests;
        for (fleet_limiter &each : gateways) {
            each.setGateways(count, start);
        }
        time_point now = start;
        for (int i = 0; i < 400; ++i) {
            now += duration(*rc::gen::inRange(0, 200));
            fleet_limiter &gateway = gateways[*rc::gen::inRange<std::size_t>(0, count)];
            if (*rc::gen::arbitrary<bool>()) {
                gateway.countRequest(service, now);
                requests.push_back(now);
            } else if (gateway.takeRetry(service, now)) {
                retries.push_back(now);
            }
            const auto within = [&](const std::deque<time_point> &events) {
                return std::count_if(events.begin(), events.end(), [&](const time_point &each) { return now < each + duration(10'000); });
            };
            RC_ASSERT(static_cast<double>(within(retries)) <= 0.2 * static_cast<double>(within(requests)) + 60.0);
        }
    }));
}

/** Sends that @p limiter allows within one second. */
static int sendsWithinASecond(fleet_limiter &limiter, bool cold)
{
    int taken = 0;
    for (duration elapsed{0}; elapsed < duration(1'000); elapsed += duration(10)) {
        while (limiter.takeSend(backend, 36.0, cold, std::nullopt, start + elapsed)) {
            ++taken;
        }
    }
    return taken;
}

TEST(FleetLimiter, AllGatewaysTogetherKeepTheRateOfAColdServer)
{
    for (const std::uint32_t count : {1U, 3U, 4U}) {
        int taken = 0;
        for (std::uint32_t i = 0; i < count; ++i) {
            fleet_limiter limiter(makeLimits());
            limiter.setGateways(count, start);
            taken += sendsWithinASecond(limiter, true);
        }
        EXPECT_LE(taken, 36);
        EXPECT_GE(taken, 30);
    }
}

TEST(FleetLimiter, LimitsTheRateOfAWarmServerThatMayTurnCold)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(1, start);
    const int taken = sendsWithinASecond(limiter, false);
    EXPECT_GT(taken, 36);
    EXPECT_LE(taken, 59);
}

TEST(FleetLimiter, LimitsBursts)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(1, start);
    int atOnce = 0;
    while (limiter.takeSend(backend, 36.0, true, std::nullopt, start)) {
        ++atOnce;
    }
    EXPECT_LE(atOnce, 8);
}
