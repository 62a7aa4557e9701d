#include <carawayloft/gateway/fleet_limiter.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace carawayloft;

// Guards against requests of many gateways that meet at one cold server: each kept its part of the limit, but all used what
// they had saved in the same second.

namespace {

const backend_id backend("b-1");
const time_point start(std::chrono::hours(1));
constexpr duration window{1'000};
constexpr duration reportPeriod{250};
constexpr duration step{5};

/** Gateways that share the limit of one server. Each asks as often as it can while it is eager. */
class cold_server_gateways
{
public:
    cold_server_gateways(std::uint32_t count, double coldRequestsPerSecond)
        : m_limits{coldRequestsPerSecond, true, std::nullopt, std::nullopt}
        , m_bound(static_cast<std::size_t>(coldRequestsPerSecond * 1.5 + 5.0))
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            m_gateways.push_back(started(i, start - duration(60'000)));
        }
    }

    /** Replaces the process of a gateway. Control gives the new one the place of the old one. */
    void restart(std::size_t gateway, time_point now)
    {
        m_gateways[gateway] = started(static_cast<std::uint32_t>(gateway), now);
    }

    /** Lets every gateway have work within @p length that @p isEager, and returns the requests that were sent. */
    template<class Eager>
    std::size_t run(duration length, Eager isEager)
    {
        std::size_t sent = 0;
        for (const time_point end = m_now + length; m_now < end; m_now += step) {
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                one &each = m_gateways[i];
                report(each, static_cast<std::uint32_t>(i));
                // A gateway looks at its limits for every request, also where it then takes another server.
                const bool allowed = each.limiter.maySend(backend, m_limits, m_now);
                if (allowed && isEager(i)) {
                    each.limiter.recordSend(backend, m_now);
                    m_sends.add(m_now);
                    ++sent;
                }
            }
            m_most = std::max(m_most, m_sends.count(m_now));
        }
        return sent;
    }

    /** Most requests within any window so far. */
    std::size_t most() const
    {
        return m_most;
    }

    std::size_t bound() const
    {
        return m_bound;
    }

    time_point now() const
    {
        return m_now;
    }

    /** Makes control tell its gateways one after another of a server that it does not know completely. */
    void setReportedGateways(std::uint32_t count)
    {
        m_reported = count;
    }

    /** Moves to a control replica with a clock of its own, which gives other places. */
    void changeLeader(duration clock)
    {
        m_clock = clock;
        m_reversed = !m_reversed;
    }

private:
    struct one {
        fleet_limiter limiter;
        time_point reportsAt;
    };

    one started(std::uint32_t index, time_point now)
    {
        fleet_limiter limiter({0.2, 60.0, duration(10'000), 1.5, 5.0}, index + 1);
        limiter.setStartedAt(now);
        return {std::move(limiter), now + duration(m_random() % reportPeriod.count())};
    }

    void report(one &gateway, std::uint32_t index)
    {
        if (m_now < gateway.reportsAt) {
            return;
        }
        gateway.reportsAt = m_now + reportPeriod;
        const auto count = static_cast<std::uint32_t>(m_gateways.size());
        gateway.limiter.setGateways(m_reported == 0 ? count : m_reported, m_now);
        const duration clock = std::chrono::duration_cast<duration>(m_now - start) + m_clock;
        gateway.limiter.assignTurn({m_reversed ? count - 1 - index : index, count, clock}, m_now);
    }

    std::mt19937_64 m_random{20261204};
    send_limits m_limits;
    std::size_t m_bound;
    std::vector<one> m_gateways;
    sliding_window_counter m_sends{window};
    std::size_t m_most = 0;
    std::uint32_t m_reported = 0;
    duration m_clock{1'000'000};
    bool m_reversed = false;
    time_point m_now = start;
};

struct cold_case {
    std::uint32_t gateways = 0;
    double coldRequestsPerSecond = 0.0;
};

class ColdServerLimit : public ::testing::TestWithParam<cold_case>
{
protected:
    cold_server_gateways m_fleet{GetParam().gateways, GetParam().coldRequestsPerSecond};
};

} // namespace

TEST_P(ColdServerLimit, HoldsWhenAllGatewaysSendAfterALongIdleTime)
{
    for (const int idleSeconds : {60, 7, 1, 0}) {
        m_fleet.run(std::chrono::seconds(idleSeconds), [](std::size_t) { return false; });
        m_fleet.run(duration(2'500), [](std::size_t) { return true; });
    }
    EXPECT_LE(m_fleet.most(), m_fleet.bound());
    RecordProperty("most", std::to_string(m_fleet.most()));
}

TEST_P(ColdServerLimit, HoldsForGatewaysThatBecomeEagerAtRandom)
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 40; ++round) {
        std::vector<bool> eager(GetParam().gateways);
        for (std::size_t i = 0; i < eager.size(); ++i) {
            eager[i] = random() % 3 == 0;
        }
        m_fleet.run(duration(100 + random() % 1'500), [&](std::size_t gateway) { return eager[gateway]; });
    }
    EXPECT_LE(m_fleet.most(), m_fleet.bound());
    RecordProperty("most", std::to_string(m_fleet.most()));
}

TEST_P(ColdServerLimit, HoldsWhileGatewaysRestart)
{
    std::mt19937_64 random(20261204);
    const auto always = [](std::size_t) { return true; };
    m_fleet.run(duration(10'000), always);
    for (int round = 0; round < 20; ++round) {
        m_fleet.restart(random() % GetParam().gateways, m_fleet.now());
        m_fleet.run(duration(200 + random() % 1'000), always);
    }
    for (std::size_t each = 0; each < GetParam().gateways; ++each) {
        m_fleet.restart(each, m_fleet.now());
    }
    m_fleet.run(duration(10'000), always);
    EXPECT_LE(m_fleet.most(), m_fleet.bound());
    RecordProperty("most", std::to_string(m_fleet.most()));
}

TEST_P(ColdServerLimit, HoldsWhileANewLeaderKnowsFewGateways)
{
    const auto always = [](std::size_t) { return true; };
    m_fleet.run(duration(10'000), always);
    m_fleet.changeLeader(duration(77'777));
    m_fleet.setReportedGateways(1);
    m_fleet.run(duration(500), always);
    m_fleet.setReportedGateways(0);
    m_fleet.run(duration(10'000), always);
    EXPECT_LE(m_fleet.most(), m_fleet.bound());
    RecordProperty("most", std::to_string(m_fleet.most()));
}

TEST_P(ColdServerLimit, GivesAnUnusedServerHalfOfItsRateWhenAllHaveWork)
{
    m_fleet.run(duration(60'000), [](std::size_t) { return false; });
    const std::size_t sent = m_fleet.run(duration(20'000), [](std::size_t) { return true; });
    EXPECT_GE(static_cast<double>(sent) / 20.0, 0.5 * GetParam().coldRequestsPerSecond);
    RecordProperty("perSecond", std::to_string(static_cast<double>(sent) / 20.0));
}

TEST(ColdServerGateways, EveryGatewayReachesAColdServer)
{
    for (const std::uint32_t gateways : {52U, 390U}) {
        cold_server_gateways fleet(gateways, 14.0);
        std::vector<std::size_t> sent(gateways, 0);
        fleet.run(duration(130'000), [&](std::size_t gateway) {
            ++sent[gateway];
            return true;
        });
        EXPECT_EQ(std::count(sent.begin(), sent.end(), 0U), 0) << gateways << " gateways";
    }
}

TEST(ColdServerGateways, AGatewayThatControlHasNotToldOfTheOthersSendsNothing)
{
    fleet_limiter limiter({0.2, 60.0, duration(10'000), 1.5, 5.0}, 1);
    EXPECT_FALSE(limiter.maySend(backend, {14.0, true, std::nullopt, std::nullopt}, start));
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    ColdServerLimit,
    ::testing::Values(cold_case{3, 14.0}, cold_case{3, 34.0}, cold_case{52, 14.0}, cold_case{52, 34.0}, cold_case{390, 14.0}, cold_case{390, 34.0}),
    [](const ::testing::TestParamInfo<cold_case> &each) {
        return std::to_string(each.param.gateways) + "GatewaysAt" + std::to_string(static_cast<int>(each.param.coldRequestsPerSecond));
    });
