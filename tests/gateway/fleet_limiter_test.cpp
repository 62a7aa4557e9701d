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

static bool takeRetry(fleet_limiter &limiter, time_point now)
{
    const bool allowed = limiter.mayRetry(service, now);
    if (allowed) {
        limiter.recordRetry(service, now);
    }
    return allowed;
}

static bool takeSend(fleet_limiter &limiter, const send_limits &limits, time_point now)
{
    const bool allowed = limiter.maySend(backend, limits, now);
    if (allowed) {
        limiter.recordSend(backend, now);
    }
    return allowed;
}

TEST(FleetLimiter, ANewGatewayHasNoRetrySlackForOneWindow)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(1, start);
    EXPECT_FALSE(takeRetry(limiter, start));
    EXPECT_TRUE(takeRetry(limiter, start + duration(10'000)));
}

TEST(FleetLimiter, RequestsAddToTheRetryBudget)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(3, start);
    for (int i = 0; i < 100; ++i) {
        limiter.countRequest(service, start);
    }
    int taken = 0;
    while (takeRetry(limiter, start)) {
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
            } else if (takeRetry(gateway, now)) {
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
        while (takeSend(limiter, {36.0, cold, std::nullopt, std::nullopt}, start + elapsed)) {
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
    while (takeSend(limiter, {36.0, true, std::nullopt, std::nullopt}, start)) {
        ++atOnce;
    }
    EXPECT_LE(atOnce, 8);
}

/** Most sends within @p window of gateways that all ask every 10 ms, from @p warmUp on. */
static std::size_t mostSends(std::uint32_t gateways, const send_limits &limits, duration warmUp, duration window)
{
    std::vector<fleet_limiter> limiters;
    for (std::uint32_t i = 0; i < gateways; ++i) {
        limiters.emplace_back(makeLimits(), i + 1);
        limiters.back().setGateways(gateways, start);
    }
    sliding_window_counter sends(window);
    std::size_t most = 0;
    for (duration elapsed{0}; elapsed < duration(30'000); elapsed += duration(10)) {
        for (fleet_limiter &each : limiters) {
            if (takeSend(each, limits, start + elapsed)) {
                sends.add(start + elapsed);
            }
        }
        most = elapsed < warmUp ? 0 : std::max(most, sends.count(start + elapsed));
    }
    return most;
}

TEST(FleetLimiter, HundredsOfGatewaysTogetherKeepTheRateOfAColdServer)
{
    static constexpr duration window{1'000};
    for (const std::uint32_t gateways : {12U, 100U, 390U}) {
        const std::size_t most = mostSends(gateways, {36.0, true, std::nullopt, std::nullopt}, duration(0), window);
        EXPECT_LE(most, 59U) << gateways << " gateways"; // 36 a second, times 1.5, and 5.
        EXPECT_GE(most, 20U) << gateways << " gateways";
    }
}

TEST(FleetLimiter, AGatewayThatDoesNotKnowHowManyThereAreTakesASmallShareOfALimit)
{
    fleet_limiter limiter(makeLimits());
    int taken = 0;
    for (duration elapsed{0}; elapsed < duration(4'000); elapsed += duration(10)) {
        taken += takeSend(limiter, {36.0, true, std::nullopt, limiter.equalShare(6.0)}, start + elapsed) ? 1 : 0;
    }
    EXPECT_LE(taken, 3);
}

TEST(FleetLimiter, ALimitThatComesAgainDoesNotFindASavedBurst)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(100, start);
    const send_limits limited{0.0, false, std::nullopt, 0.02};
    const send_limits unlimited{};
    int taken = 0;
    for (int round = 0; round < 50; ++round) {
        const time_point now = start + duration(1'000 * round);
        taken += takeSend(limiter, limited, now) ? 1 : 0;
        takeSend(limiter, unlimited, now + duration(10));
        takeSend(limiter, unlimited, now + duration(990));
    }
    EXPECT_LE(taken, 1);
}

TEST(FleetLimiter, ASendThatIsNotMadeTakesNothingFromTheLimits)
{
    fleet_limiter limiter(makeLimits());
    limiter.setGateways(1, start);
    const send_limits limits{36.0, true, std::nullopt, 1.0};
    for (duration elapsed{0}; elapsed < duration(2'000); elapsed += duration(1)) {
        limiter.maySend(backend, limits, start + elapsed);
    }
    EXPECT_TRUE(limiter.maySend(backend, limits, start + duration(2'000)));
}
