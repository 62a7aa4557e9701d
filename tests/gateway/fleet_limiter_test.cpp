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

TEST(FleetLimiter, ANewGatewayHasNoPartOfTheSpareRepeatsForOneWindow)
{
    fleet_limiter limits(makeLimits());
    limits.setGateways(1, start);
    EXPECT_FALSE(limits.takeRetry(service, start));
    EXPECT_TRUE(limits.takeRetry(service, start + duration(10'000)));
}

TEST(FleetLimiter, RequestsEarnRepeats)
{
    fleet_limiter limits(makeLimits());
    limits.setGateways(3, start);
    for (int i = 0; i < 100; ++i) {
        limits.countRequest(service, start);
    }
    int taken = 0;
    while (limits.takeRetry(service, start)) {
        ++taken;
    }
    EXPECT_GT(taken, 10);
    EXPECT_LE(taken, 20);
}

TEST(FleetLimiter, AllGatewaysTogetherKeepToTheBoundOnRepeats)
{
    EXPECT_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 6);
        std::vector<fleet_limiter> gateways(count, fleet_limiter(makeLimits()));
        std::deque<time_point> repeats;
        std::deque<time_point> requests;
        for (fleet_limiter &each : gateways) {
            each.setGateways(count, start);
        }
        time_point now = start;
        for (int i = 0; i < 400; ++i) {
            now += duration(*rc::gen::inRange(0, 200));
            fleet_limiter &one = gateways[*rc::gen::inRange<std::size_t>(0, count)];
            if (*rc::gen::arbitrary<bool>()) {
                one.countRequest(service, now);
                requests.push_back(now);
            } else if (one.takeRetry(service, now)) {
                repeats.push_back(now);
            }
            const auto within = [&](const std::deque<time_point> &events) {
                return std::count_if(events.begin(), events.end(), [&](const time_point &each) { return now < each + duration(10'000); });
            };
            RC_ASSERT(static_cast<double>(within(repeats)) <= 0.2 * static_cast<double>(within(requests)) + 60.0);
        }
    }));
}

/** Sends that @p limits lets through within one second. */
static int sendsWithinASecond(fleet_limiter &limits, bool cold)
{
    int taken = 0;
    for (duration gone{0}; gone < duration(1'000); gone += duration(10)) {
        while (limits.takeColdSend(backend, 36.0, cold, std::nullopt, start + gone)) {
            ++taken;
        }
    }
    return taken;
}

TEST(FleetLimiter, AllGatewaysTogetherKeepToWhatAColdServerBears)
{
    for (const std::uint32_t count : {1U, 3U, 4U}) {
        int taken = 0;
        for (std::uint32_t i = 0; i < count; ++i) {
            fleet_limiter limits(makeLimits());
            limits.setGateways(count, start);
            taken += sendsWithinASecond(limits, true);
        }
        EXPECT_LE(taken, 36);
        EXPECT_GE(taken, 30);
    }
}

TEST(FleetLimiter, AWarmServerMayTurnColdSoItsBoundHoldsToo)
{
    fleet_limiter limits(makeLimits());
    limits.setGateways(1, start);
    const int taken = sendsWithinASecond(limits, false);
    EXPECT_GT(taken, 36);
    EXPECT_LE(taken, 59);
}

TEST(FleetLimiter, SpreadsSendsOverTheSecond)
{
    fleet_limiter limits(makeLimits());
    limits.setGateways(1, start);
    int atOnce = 0;
    while (limits.takeColdSend(backend, 36.0, true, std::nullopt, start)) {
        ++atOnce;
    }
    EXPECT_LE(atOnce, 8);
}
