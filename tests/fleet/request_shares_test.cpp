#include <carawayloft/fleet/request_shares.h>
#include <carawayloft/gateway/fleet_limiter.h>

#include <gtest/gtest.h>

#include <cmath>

using namespace carawayloft;

static const backend_id backend("b-1");
static const time_point start(std::chrono::hours(1));

static backend_registry makeRegistry(double limit)
{
    backend_registry registry;
    backend_record record;
    record.backend = backend;
    record.address = endpoint("127.0.0.1:9000");
    record.announcement = 1;
    registry.step(backend_check_in{record}, start);
    registry.step(request_limit_named{backend, limit, start}, start);
    return registry;
}

static std::set<link_id> makeGateways(std::uint64_t count)
{
    std::set<link_id> gateways;
    for (std::uint64_t i = 1; i <= count; ++i) {
        gateways.insert(link_id(i));
    }
    return gateways;
}

TEST(RequestShares, SharesAddUpToTheLimitAndAreNoSmallerThanTheyNeedBe)
{
    for (const std::uint64_t gateways : {1U, 3U, 12U, 390U}) {
        for (const double limit : {0.1, 0.5, 1.7, 5.9, 40.0, 1'000.0}) {
            request_shares shares;
            shares.update(makeRegistry(limit), makeGateways(gateways), start);
            double sum = 0.0;
            for (const link_id &each : makeGateways(gateways)) {
                for (const request_share &share : shares.sharesOf(each)) {
                    sum += share.requestsPerSecond;
                    EXPECT_GE(share.requestsPerSecond, std::min(limit, 1.0));
                }
            }
            EXPECT_NEAR(sum, limit, 1e-9);
        }
    }
}

TEST(RequestShares, GoToOtherGatewaysAfterAWhile)
{
    request_shares shares;
    std::set<link_id> owners;
    for (int i = 0; i < 50; ++i) {
        shares.update(makeRegistry(1.0), makeGateways(20), start + duration(10'000) * i);
        for (const link_id &each : makeGateways(20)) {
            if (!shares.sharesOf(each).empty()) {
                owners.insert(each);
            }
        }
    }
    EXPECT_GT(owners.size(), 10U);
}

/** Most requests within four seconds that gateways send, which have requests all the time or only after an idle time. */
static std::size_t mostSends(std::uint64_t count, double limit, duration idle)
{
    const std::set<link_id> gateways = makeGateways(count);
    const backend_registry registry = makeRegistry(limit);
    std::map<link_id, fleet_limiter> limiters;
    for (const link_id &each : gateways) {
        limiters.emplace(each, fleet_limiter({0.2, 60.0, duration(10'000), 1.5, 5.0}, each.value()));
    }
    request_shares shares;
    sliding_window_counter sends(duration(4'000));
    std::size_t most = 0;
    for (duration elapsed{0}; elapsed < duration(40'000); elapsed += duration(50)) {
        const time_point now = start + elapsed;
        shares.update(registry, gateways, now);
        for (auto &[link, limiter] : limiters) {
            const auto own = shares.sharesOf(link);
            const send_limits limits{0.0, false, std::nullopt, own.empty() ? 0.0 : own.front().requestsPerSecond};
            while (limiter.maySend(backend, limits, now) && elapsed >= idle) {
                limiter.recordSend(backend, now);
                sends.add(now);
            }
        }
        most = std::max(most, sends.count(now));
    }
    return most;
}

TEST(RequestShares, AllGatewaysTogetherKeepTheLimitThatAServerNames)
{
    for (const std::uint64_t gateways : {1U, 3U, 12U, 390U}) {
        for (const double limit : {0.5, 1.7, 5.9, 40.0}) {
            for (const duration idle : {duration(0), duration(15'000)}) {
                const auto most = static_cast<double>(mostSends(gateways, limit, idle));
                EXPECT_LE(most, 1.5 * limit * 4.0 + 5.0) << gateways << " gateways, limit " << limit << ", idle " << idle.count();
                EXPECT_GE(most, std::floor(0.9 * limit * 4.0)) << gateways << " gateways, limit " << limit << ", idle " << idle.count();
            }
        }
    }
}
