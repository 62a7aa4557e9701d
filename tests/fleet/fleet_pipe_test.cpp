#include <carawayloft/fleet/fleet_pipe.h>

#include <gtest/gtest.h>

using namespace carawayloft;

namespace {

/** A leading replica that hears one plain server and one gateway. */
class FleetPipe : public ::testing::Test
{
protected:
    FleetPipe()
    {
        step(leadership_changed{true, log_term(1)});
        backend_record record;
        record.backend = server;
        record.service = service_id("records");
        record.address = endpoint("127.0.0.1:9000");
        record.startedAt = 1;
        record.announcement = 1;
        step(check_in_received{{record}});
    }

    void step(const fleet_pipe_input &in)
    {
        for (const fleet_pipe_output &each : pipe.step(in, now)) {
            if (const auto *probe = std::get_if<probe_backend>(&each)) {
                probes.push_back(probe->probe);
            }
            if (const auto *granted = std::get_if<grant_to_gateway>(&each)) {
                lastGrant = granted->grant;
            }
        }
    }

    /** The server says nothing to control, and its host takes no connection from it. */
    void stayCutOff(duration time, const gateway_report &report)
    {
        for (duration elapsed{0}; elapsed < time; elapsed += duration(100)) {
            now += duration(100);
            step(gateway_reported{link_id(1), report, revision(), {}});
            step(fleet_tick{});
            for (const probe_id &each : std::exchange(probes, {})) {
                step(probe_finished{each, false});
            }
        }
    }

    backend_state state() const
    {
        return pipe.snapshot(now).backends.front().state;
    }

    const backend_id server{"p1"};
    fleet_pipe pipe;
    time_point now{std::chrono::hours(1)};
    std::vector<probe_id> probes;
    gateway_grant lastGrant;
};

} // namespace

TEST_F(FleetPipe, AServerThatIsOnlyCutOffFromControlIsNotGivenUpWhileItAnswersGateways)
{
    gateway_report report;
    report.answering = {server};
    stayCutOff(duration(15'000), report);
    EXPECT_EQ(state(), backend_state::Ready);
    stayCutOff(duration(5'000), {});
    EXPECT_EQ(state(), backend_state::Lost);
}

TEST_F(FleetPipe, AServerThatSaidToAGatewayThatItLeavesDrainsForAll)
{
    gateway_report report;
    report.leaving = {{server, 1}};
    step(gateway_reported{link_id(1), report, revision(), {}});
    EXPECT_EQ(state(), backend_state::Draining);
}

// Guards against two gateways with the same turns at cold servers, and against turns that move when another gateway ends.
TEST_F(FleetPipe, EveryGatewayKeepsAPlaceOfItsOwnAmongTheTurns)
{
    const auto placeOf = [this](std::uint64_t gateway) {
        step(gateway_reported{link_id(gateway), {}, revision(), {}});
        return lastGrant.turn;
    };
    EXPECT_EQ(placeOf(7), 0U);
    EXPECT_EQ(placeOf(3), 1U);
    EXPECT_EQ(placeOf(5), 2U);
    EXPECT_EQ(lastGrant.turns, 3U);
    step(gateway_lost{link_id(3)});
    EXPECT_EQ(placeOf(7), 0U);
    EXPECT_EQ(placeOf(5), 2U);
    EXPECT_EQ(lastGrant.turns, 3U);
    EXPECT_EQ(placeOf(9), 1U);
    now += duration(250);
    const std::uint64_t clock = lastGrant.turnClockMs;
    placeOf(9);
    EXPECT_EQ(lastGrant.turnClockMs, clock + 250);
}

static gateway_report reportDemand(const std::string &account, double requestsPerSecond)
{
    gateway_report report;
    report.classDemand = {{model_id("m"), request_rank(1), client_account_id(account), requestsPerSecond, 0}};
    return report;
}

// Guards against gateways that share the capacity by what each sees alone, and against sums that keep a gateway that is gone.
TEST_F(FleetPipe, GrantsCarryTheDemandOfAllGatewaysByRankAndAccount)
{
    step(gateway_reported{link_id(1), reportDemand("a", 3.0), revision(), {}});
    now += duration(250);
    step(gateway_reported{link_id(2), reportDemand("a", 4.0), revision(), {}});
    ASSERT_EQ(lastGrant.classDemand.size(), 1U);
    EXPECT_DOUBLE_EQ(lastGrant.classDemand.front().requestsPerSecond, 7.0);
    EXPECT_EQ(lastGrant.classDemand.front().rank, request_rank(1));
    step(gateway_lost{link_id(1)});
    now += duration(250);
    step(gateway_reported{link_id(2), reportDemand("b", 5.0), revision(), {}});
    ASSERT_EQ(lastGrant.classDemand.size(), 1U);
    EXPECT_EQ(lastGrant.classDemand.front().account, client_account_id("b"));
}

// Guards against grants without bound, with 390 gateways that report 64 accounts of their own each.
TEST_F(FleetPipe, TheGrantedDemandIsBoundedHoweverManyAccountsThereAre)
{
    for (std::uint64_t gateway = 1; gateway <= 390; ++gateway) {
        gateway_report report;
        for (int i = 0; i < 64; ++i) {
            report.classDemand.push_back({model_id("m"), request_rank(1), client_account_id(std::to_string(gateway) + "/" + std::to_string(i)), 1.0, 0});
        }
        step(gateway_reported{link_id(gateway), report, revision(), {}});
    }
    now += duration(250);
    step(gateway_reported{link_id(1), reportDemand("a", 1'000.0), revision(), {}});
    ASSERT_EQ(lastGrant.classDemand.size(), 65U);
    EXPECT_DOUBLE_EQ(lastGrant.classDemand.front().requestsPerSecond, 1'000.0);
    EXPECT_EQ(lastGrant.classDemand.back().otherAccounts, 389U * 64U + 1U - 64U);
}

// Guards against overload after a change of leader: the new one would start from the published figures, also if the first
// report is that of a gateway that has just started.
TEST_F(FleetPipe, ANewLeaderGoesOnFromTheCapacityThatGatewaysWereGranted)
{
    service_settings service;
    service.service = service_id("drafting");
    service.engine.emplace();
    service.engine->models = {{model_id("large")}};
    step(services_changed{{service}});
    step(gateway_reported{link_id(1), {}, revision(), {}});
    gateway_report report;
    report.capacities = {{model_id("large"), 0.6}, {model_id("unknown"), 0.5}};
    step(gateway_reported{link_id(2), report, revision(), {}});
    ASSERT_EQ(lastGrant.capacities.size(), 1U);
    EXPECT_DOUBLE_EQ(lastGrant.capacities.front().factor, 0.6);
    step(leadership_changed{false, log_term(1)});
    step(leadership_changed{true, log_term(2)});
    report.capacities = {{model_id("large"), 0.8}};
    step(gateway_reported{link_id(2), report, revision(), {}});
    ASSERT_EQ(lastGrant.capacities.size(), 1U);
    EXPECT_DOUBLE_EQ(lastGrant.capacities.front().factor, 0.8);
}
