#include <carawayloft/backend/backend_pipe.h>
#include <carawayloft/backend/lease_terms.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

using namespace carawayloft;

static const service_id model("drafting-models");
static const time_point start(std::chrono::hours(1));
static constexpr link_id entryLink(1);

namespace {

/** The agent of host h1, which leads a group of h1 and h2 once control says so. */
class BackendPipe : public ::testing::Test
{
protected:
    BackendPipe()
        : m_pipe({host_id("h1"), availability_zone_id("mid-a"), fabric_domain_id("f"), endpoint("h1"), incarnation(1)}, start)
    {
        apply(put_service{{model, service_kind::Model, 2, {}}});
        for (const char *name : {"h1", "h2"}) {
            host_record host;
            host.host = host_id(name);
            host.zone = availability_zone_id("mid-a");
            host.service = model;
            host.agent = endpoint(name);
            apply(put_host{host});
        }
        apply(create_group{model, {host_id("h1"), host_id("h2")}});
        step(control_message{publish_snapshot{m_fleet.snapshot()}});
        step(link_connected{entryLink, process_role::Entry});
        step(backend_announcement{model, service_kind::Model, 2, 8, false, false});
        step(backend_report{true, incarnation(1), false, 0});
    }

    void apply(fleet_change change)
    {
        const revision before = m_fleet.at();
        const fleet_command command{{}, "test", {}, std::move(change)};
        (void)m_fleet.apply(command, next(before));
        if (m_pipe.fleet().at().value() != 0) {
            step(control_message{publish_change{before, m_fleet.at(), command}});
        }
    }

    const std::vector<backend_pipe_output> &step(const backend_pipe_input &in)
    {
        m_out = m_pipe.step(in, m_now);
        // Control and the other member answer whatever is asked of them.
        const std::vector<backend_pipe_output> asked = m_out;
        for (const backend_pipe_output &each : asked) {
            if (const auto *order = std::get_if<send_serve_order>(&each)) {
                m_orders.push_back(order->epoch);
                answer(serve_order_result{order->epoch, true});
            } else if (const auto *member = std::get_if<send_to_member>(&each); member != nullptr && m_memberStands) {
                const auto &request = std::get<member_lease_request>(member->message);
                answer(member_message{member_lease_grant{request.group, request.epoch, host_id("h2"), request.round, memberLeaseLength}});
            } else if (const auto *control = std::get_if<send_to_control>(&each); control != nullptr && m_controlGrants) {
                if (const auto *renewal = std::get_if<lease_renewal>(&control->message)) {
                    answer(control_message{lease_grant{renewal->round, group().epoch, controlLeaseLength, m_fleet.at()}});
                }
            }
        }
        return m_out;
    }

    void answer(const backend_pipe_input &in)
    {
        for (const backend_pipe_output &each : m_pipe.step(in, m_now)) {
            m_out.push_back(each);
        }
    }

    void pass(int milliseconds)
    {
        for (int i = 0; i < milliseconds; i += 50) {
            m_now += duration(50);
            step(agent_tick{});
        }
    }

    const group_record &group() const
    {
        return m_fleet.groups().begin()->second;
    }

    const std::vector<backend_pipe_output> &dispatch(std::uint64_t id)
    {
        dispatch_request request;
        request.request = request_id(id);
        request.attempt = attempt_number(1);
        request.group = group().group;
        request.epoch = group().epoch;
        request.timeLeft = duration(60'000);
        request.stream = true;
        request.credit = 100;
        return step(link_message{entryLink, request});
    }

    template<class Output>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(m_out.begin(), m_out.end(), [](const auto &each) { return std::holds_alternative<Output>(each); }));
    }

    std::optional<refusal_reason> refusal() const
    {
        for (const backend_pipe_output &each : m_out) {
            if (const auto *rejected = std::get_if<work_rejected>(&each)) {
                return rejected->reason;
            }
        }
        return std::nullopt;
    }

    /** Frames of an answer that were written to the entry in the last step. */
    std::size_t framesWritten() const
    {
        return static_cast<std::size_t>(std::count_if(m_out.begin(), m_out.end(), [](const auto &each) {
            const auto *sent = std::get_if<send_to_link>(&each);
            return sent != nullptr && std::holds_alternative<answer_chunk>(sent->message);
        }));
    }

    backend_pipe m_pipe;
    fleet_state m_fleet;
    time_point m_now = start;
    std::vector<backend_pipe_output> m_out;
    std::vector<group_epoch> m_orders;
    bool m_memberStands = true;
    bool m_controlGrants = true;
};

} // namespace

static const attempt_key firstWork{entryLink, request_id(1), attempt_number(1)};

TEST_F(BackendPipe, TakesWorkOnlyWithEveryLease)
{
    m_memberStands = m_controlGrants = false;
    pass(500);
    dispatch(1);
    EXPECT_EQ(refusal(), refusal_reason::NotLeading);
    m_controlGrants = true;
    pass(1'500);
    dispatch(2);
    EXPECT_EQ(refusal(), refusal_reason::GroupIncomplete);
    m_memberStands = true;
    pass(500);
    dispatch(3);
    EXPECT_EQ(count<start_backend_call>(), 1U);
}

TEST_F(BackendPipe, ADoubledFrameStartsNothing)
{
    pass(500);
    dispatch(1);
    EXPECT_EQ(count<start_backend_call>(), 1U);
    dispatch(1);
    EXPECT_EQ(count<start_backend_call>(), 0U);
}

TEST_F(BackendPipe, WritesNothingOnceAMemberIsMissingAlsoAfterAFreeze)
{
    pass(500);
    dispatch(1);
    step(backend_call_event{firstWork, answer_started{200, "text/event-stream"}});
    step(backend_call_event{firstWork, answer_bytes_received{"data: a\n\n"}});
    EXPECT_EQ(framesWritten(), 1U);
    // The process freezes with bytes of its backend server waiting to be read, and thaws.
    m_now += duration(5'000);
    step(backend_call_event{firstWork, answer_bytes_received{"data: b\n\n"}});
    EXPECT_EQ(framesWritten(), 0U);
    EXPECT_EQ(count<cancel_backend_call>(), 1U);
}

TEST_F(BackendPipe, StopsNewWorkWhenItsControlLeaseEndsAndGoesOnWithTheOld)
{
    pass(500);
    dispatch(1);
    m_controlGrants = false;
    pass(4'000);
    dispatch(2);
    EXPECT_EQ(refusal(), refusal_reason::NotLeading);
    step(backend_call_event{firstWork, answer_started{200, {}}});
    step(backend_call_event{firstWork, answer_bytes_received{"data: a\n\n"}});
    EXPECT_EQ(framesWritten(), 1U);
}

TEST_F(BackendPipe, RefusesAtOnceWhenItsZoneIsOutOrItsServerLeaves)
{
    pass(500);
    apply(put_zone{{availability_zone_id("mid-a"), zone_state::Out}});
    dispatch(1);
    EXPECT_EQ(refusal(), refusal_reason::ZoneOut);
    apply(put_zone{{availability_zone_id("mid-a"), zone_state::Serving}});
    step(backend_announcement{model, service_kind::Model, 2, 8, false, true});
    dispatch(2);
    EXPECT_EQ(refusal(), refusal_reason::Leaving);
}

TEST_F(BackendPipe, RefusesAnotherEpoch)
{
    pass(500);
    dispatch_request stale;
    stale.request = request_id(9);
    stale.attempt = attempt_number(1);
    stale.group = group().group;
    stale.epoch = group_epoch(1);
    stale.timeLeft = duration(1'000);
    step(link_message{entryLink, stale});
    EXPECT_EQ(refusal(), refusal_reason::NotLeading);
}

TEST_F(BackendPipe, OrdersItsServerUnderGrowingEpochsOnly)
{
    pass(500);
    const group_record old = group();
    apply(dissolve_group{old.group, old.epoch});
    apply(create_group{model, {host_id("h1"), host_id("h2")}});
    pass(500);
    ASSERT_EQ(m_orders.size(), 2U);
    EXPECT_LT(m_orders[0], m_orders[1]);
    // A restarted server has forgotten its orders: it is told the present epoch again, not an older one.
    step(backend_report{true, incarnation(2), true, 0});
    ASSERT_EQ(m_orders.size(), 3U);
    EXPECT_EQ(m_orders[2], m_orders[1]);
}

TEST_F(BackendPipe, AColdServerGetsNoMoreThanItsColdLimit)
{
    pass(500);
    std::size_t started = 0;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        dispatch(id);
        started += count<start_backend_call>();
    }
    EXPECT_EQ(started, 2U);
}

TEST_F(BackendPipe, AStopFinishesWhatIsInFlight)
{
    pass(500);
    dispatch(1);
    step(agent_stop{});
    EXPECT_EQ(count<agent_drained>(), 0U);
    dispatch(2);
    EXPECT_EQ(refusal(), refusal_reason::Stopping);
    step(backend_call_event{firstWork, answer_started{200, {}}});
    step(backend_call_event{firstWork, answer_bytes_received{"data: a\n\ndata: [DONE]\n\n"}});
    step(backend_call_event{firstWork, answer_finished{}});
    EXPECT_EQ(count<agent_drained>(), 1U);
}
