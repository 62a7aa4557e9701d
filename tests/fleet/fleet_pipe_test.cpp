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
