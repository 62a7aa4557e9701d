#include <carawayloft/gateway/gateway_pipe.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

/** A gateway with a configuration, two groups of the large model and two plain servers. */
class GatewayPipe : public ::testing::Test
{
protected:
    GatewayPipe()
        : pipe({availability_zone_id("mid-a"), {0.2, 300.0, duration(10'000), 1.5, 5.0}, 1})
    {
        configure(makeFields());
        control(publish_snapshot{fleet_snapshot{}});
        publish_fleet view;
        view.snapshot = true;
        for (const char *id : {"h1", "m1", "h2", "m2"}) {
            view.backends.push_back(makeBackend(id, engineService));
        }
        for (const char *id : {"p1", "p2"}) {
            view.backends.push_back(makeBackend(id, plainService));
        }
        view.groups = {makeGroup(1, "h1", "m1"), makeGroup(2, "h2", "m2")};
        control(view);
        tick();
        grant();
        pass(duration(11'000)); // From now on the gateway has a part of the spare repeats.
        tick();
        grant();
    }

    static backend_record makeBackend(const std::string &id, const service_id &service)
    {
        backend_record record;
        record.backend = backend_id(id);
        record.service = service;
        record.address = endpoint("127.0.0.1:9000");
        record.zone = availability_zone_id("mid-a");
        return record;
    }

    static engine_group makeGroup(std::uint64_t epoch, const std::string &head, const std::string &member)
    {
        return {group_epoch(epoch), engineService, largeModel, group_phase::Open, {backend_id(head), backend_id(member)}};
    }

    void configure(configuration_fields fields)
    {
        run(configuration_in_force{
            std::make_shared<const service_configuration>(std::get<service_configuration>(service_configuration::create(std::move(fields))))});
    }

    const std::vector<gateway_pipe_output> &run(const gateway_pipe_input &in)
    {
        outputs = pipe.step(in, now);
        for (const gateway_pipe_output &each : outputs) {
            if (const auto *sent = std::get_if<send_to_control>(&each)) {
                if (const auto *report = std::get_if<gateway_report>(&sent->message)) {
                    lastReport = *report;
                }
            }
        }
        return outputs;
    }

    void control(peer_message message)
    {
        run(control_message{std::move(message)});
    }

    void tick()
    {
        run(request_tick{});
    }

    void pass(duration time)
    {
        now += time;
    }

    /** Time passes in steps of a tick, as it does in a process that runs. */
    void live(duration time)
    {
        for (duration gone{0}; gone < time; gone += duration(20)) {
            pass(duration(20));
            tick();
        }
    }

    void grant(std::uint32_t gateways = 1)
    {
        control(gateway_grant{lastReport.round, revision(), duration(3'000), gateways, {}, {}});
    }

    gateway_request makeCall(std::uint64_t id, const std::string &path)
    {
        gateway_request call;
        call.request = request_id(id);
        call.name = "r" + std::to_string(id);
        call.host = "ledger.example";
        call.path = path;
        call.key = knownKey;
        call.timeLimit = duration(4'000);
        if (path.starts_with("/draft/")) {
            call.model = largeModel;
            call.promptTokens = 500;
        }
        return call;
    }

    template<class Output>
    std::vector<Output> all() const
    {
        std::vector<Output> found;
        for (const gateway_pipe_output &each : outputs) {
            if (const auto *output = std::get_if<Output>(&each)) {
                found.push_back(*output);
            }
        }
        return found;
    }

    call_backend start(std::uint64_t id, const std::string &path)
    {
        run(makeCall(id, path));
        const auto calls = all<call_backend>();
        EXPECT_EQ(calls.size(), 1U);
        return calls.empty() ? call_backend{} : calls.front();
    }

    void answer(const call_backend &call, std::uint32_t status, bool isStream, bool notExecuted = false)
    {
        run(backend_answer_started{call.call, status, notExecuted, false, false, isStream});
    }

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: x\n\n";
    }

    gateway_pipe pipe;
    time_point now{std::chrono::hours(1)};
    std::vector<gateway_pipe_output> outputs;
    gateway_report lastReport;
};

} // namespace

TEST_F(GatewayPipe, RefusesWhatNoRouteLeadsTo)
{
    run(makeCall(1, "/nowhere/x"));
    ASSERT_EQ(all<reject_request>().size(), 1U);
    EXPECT_EQ(all<reject_request>().front().status, 404U);
}

TEST_F(GatewayPipe, RefusesAKeyThatNobodyHas)
{
    gateway_request call = makeCall(1, "/records/x");
    call.key = access_key("stolen");
    run(call);
    EXPECT_EQ(all<reject_request>().front().status, 401U);
}

TEST_F(GatewayPipe, ServesNoKeyedRequestOnceControlIsSilent)
{
    pass(duration(3'100));
    run(makeCall(1, "/records/x"));
    ASSERT_EQ(all<reject_request>().size(), 1U);
    EXPECT_EQ(all<reject_request>().front().status, 503U);
    EXPECT_EQ(all<reject_request>().front().outcome, run_outcome::DidNotRun);
    EXPECT_FALSE(pipe.isReady(now));
}

TEST_F(GatewayPipe, AGrantForARevisionThatIsNotInForceGivesNoRight)
{
    pass(duration(2'900));
    tick();
    control(gateway_grant{lastReport.round, revision(7), duration(3'000), 1, {}, {}});
    pass(duration(200));
    run(makeCall(1, "/records/x"));
    EXPECT_EQ(all<reject_request>().front().status, 503U);
}

TEST_F(GatewayPipe, CountsTheRightFromTheReportAndNotFromTheAnswer)
{
    tick();
    const gateway_report early = lastReport;
    pass(duration(2'000));
    control(gateway_grant{early.round, revision(), duration(3'000), 1, {}, {}});
    pass(duration(1'100));
    EXPECT_FALSE(pipe.isReady(now));
}

TEST_F(GatewayPipe, NamesTheAccountAndTheServer)
{
    const call_backend call = start(1, "/records/x");
    EXPECT_EQ(call.account, client_account_id("firm"));
    EXPECT_TRUE(call.backend == backend_id("p1") || call.backend == backend_id("p2"));
    EXPECT_EQ(call.timeLeft, duration(4'000));
}

TEST_F(GatewayPipe, GivesOnTheWholeAnswer)
{
    const call_backend call = start(1, "/records/x");
    answer(call, 200, false);
    run(backend_bytes_received{call.call, "rec"});
    run(backend_bytes_received{call.call, "ord"});
    run(backend_answer_finished{call.call});
    ASSERT_EQ(all<send_whole_answer>().size(), 1U);
    EXPECT_EQ(all<send_whole_answer>().front().body, "record");
    EXPECT_EQ(pipe.inFlight(), 0U);
}

TEST_F(GatewayPipe, RunsASignOffAgainOnlyIfItSurelyDidNotRun)
{
    const call_backend first = start(1, "/sign/x");
    EXPECT_TRUE(first.freshConnection);
    run(backend_call_failed{first.call, true, "refused"});
    const auto second = all<call_backend>();
    ASSERT_EQ(second.size(), 1U);
    run(backend_call_failed{second.front().call, false, "reset"});
    EXPECT_TRUE(all<call_backend>().empty());
    ASSERT_EQ(all<reject_request>().size(), 1U);
    EXPECT_EQ(all<reject_request>().front().status, 502U);
    EXPECT_EQ(all<reject_request>().front().outcome, run_outcome::Unknown);
}

TEST_F(GatewayPipe, DoesNotPassOnAPromiseThatTheServerDidNotMake)
{
    const call_backend call = start(1, "/sign/x");
    answer(call, 503, false);
    ASSERT_EQ(all<reject_request>().size(), 1U);
    EXPECT_EQ(all<reject_request>().front().status, 502U);
}

TEST_F(GatewayPipe, SendsASignOffThatWasRejectedUnrunElsewhere)
{
    const call_backend first = start(1, "/sign/x");
    answer(first, 503, false, true);
    ASSERT_EQ(all<call_backend>().size(), 1U);
    EXPECT_NE(all<call_backend>().front().backend, first.backend);
}

TEST_F(GatewayPipe, PassesOnTheServersOwnFailureOfASignOff)
{
    const call_backend call = start(1, "/sign/x");
    answer(call, 500, false);
    run(backend_answer_finished{call.call});
    EXPECT_EQ(all<send_whole_answer>().size(), 1U);
}

TEST_F(GatewayPipe, ReadsARecordElsewhereWhenAServerFails)
{
    const call_backend first = start(1, "/records/x");
    answer(first, 500, false);
    ASSERT_EQ(all<call_backend>().size(), 1U);
    EXPECT_NE(all<call_backend>().front().backend, first.backend);
}

TEST_F(GatewayPipe, NoMoreServersRunARequestThanItsRouteAllows)
{
    const call_backend first = start(1, "/records/x");
    answer(first, 500, false);
    const call_backend second = all<call_backend>().front();
    run(backend_call_failed{second.call, false, "reset"});
    EXPECT_TRUE(all<call_backend>().empty());
    EXPECT_EQ(all<reject_request>().size(), 1U);
}

TEST_F(GatewayPipe, AForeignAnswerReachesNobody)
{
    const call_backend call = start(1, "/sign/x");
    run(backend_answer_started{call.call, 200, false, false, true, false});
    ASSERT_EQ(all<reject_request>().size(), 1U);
    EXPECT_EQ(all<reject_request>().front().outcome, run_outcome::Unknown);
}

TEST_F(GatewayPipe, AStreamGoesOnElsewhereBehindItsLastWholeEvent)
{
    const call_backend first = start(1, "/draft/x");
    answer(first, 200, true);
    EXPECT_EQ(all<begin_stream>().size(), 1U);
    run(backend_bytes_received{first.call, event(1) + event(2) + "id: 3\nda"});
    EXPECT_EQ(all<continue_answer>().front().bytes, event(1) + event(2));
    run(backend_call_failed{first.call, false, "reset"});
    ASSERT_EQ(all<call_backend>().size(), 1U);
    const call_backend second = all<call_backend>().front();
    EXPECT_NE(second.backend, first.backend);
    EXPECT_EQ(second.resumeAfter, stream_event_id(2));
    answer(second, 200, true);
    EXPECT_TRUE(all<begin_stream>().empty());
    run(backend_bytes_received{second.call, event(3)});
    EXPECT_EQ(all<continue_answer>().front().bytes, event(3));
    run(backend_answer_finished{second.call});
    EXPECT_EQ(all<finish_answer>().size(), 1U);
}

TEST_F(GatewayPipe, AStreamThatEndsWithinAnEventIsNotComplete)
{
    const call_backend first = start(1, "/draft/x");
    answer(first, 200, true);
    run(backend_bytes_received{first.call, event(1) + "id: 2\n"});
    run(backend_answer_finished{first.call});
    EXPECT_TRUE(all<finish_answer>().empty());
    EXPECT_EQ(all<call_backend>().size(), 1U);
}

TEST_F(GatewayPipe, CutsAStreamThatNobodyGoesOnWith)
{
    const call_backend first = start(1, "/draft/x");
    answer(first, 200, true);
    run(backend_bytes_received{first.call, event(1)});
    run(backend_call_failed{first.call, false, "reset"});
    const call_backend second = all<call_backend>().front();
    run(backend_call_failed{second.call, false, "reset"});
    EXPECT_EQ(all<abort_answer>().size(), 1U);
    EXPECT_TRUE(all<finish_answer>().empty());
}

TEST_F(GatewayPipe, TestsTheMembersOfASilentGroupAndMovesItsStreamsOnceOneIsDead)
{
    const call_backend call = start(1, "/draft/x");
    answer(call, 200, true);
    run(backend_bytes_received{call.call, event(1)});
    std::vector<probe_backend> probes;
    for (int i = 0; i < 50 && probes.empty(); ++i) {
        pass(duration(20));
        tick();
        probes = all<probe_backend>();
    }
    ASSERT_EQ(probes.size(), 2U);
    run(probe_finished{probes.front().probe, true});
    EXPECT_TRUE(all<call_backend>().empty());
    run(probe_finished{probes.back().probe, false});
    ASSERT_EQ(all<call_backend>().size(), 1U);
    EXPECT_NE(all<call_backend>().front().backend, call.backend);
    EXPECT_EQ(lastReport.unreachable, std::vector<backend_id>{probes.back().backend});
}

TEST_F(GatewayPipe, AProcessThatStoodStillDoesNotBlameTheGroups)
{
    const call_backend call = start(1, "/draft/x");
    answer(call, 200, true);
    run(backend_bytes_received{call.call, event(1)});
    live(duration(60));
    pass(duration(500));
    tick();
    EXPECT_TRUE(all<probe_backend>().empty());
}

TEST_F(GatewayPipe, MovesStreamsOffAGroupThatControlHasClosed)
{
    const call_backend call = start(1, "/draft/x");
    answer(call, 200, true);
    run(backend_bytes_received{call.call, event(1)});
    publish_fleet change;
    change.retiredGroups = {{call.backend == backend_id("h1") ? group_epoch(1) : group_epoch(2)}};
    control(change);
    ASSERT_EQ(all<call_backend>().size(), 1U);
    EXPECT_EQ(all<call_backend>().front().resumeAfter, stream_event_id(1));
}

TEST_F(GatewayPipe, DropsTheCallOfACallerThatHasGone)
{
    const call_backend call = start(1, "/draft/x");
    run(caller_disconnected{request_id(1)});
    ASSERT_EQ(all<cancel_call>().size(), 1U);
    EXPECT_EQ(all<cancel_call>().front().call, call.call);
    EXPECT_EQ(pipe.inFlight(), 0U);
}

TEST_F(GatewayPipe, RefusesWithATimeToComeBackWhenNoGroupServes)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    control(change);
    run(makeCall(1, "/draft/x"));
    EXPECT_TRUE(all<reject_request>().empty());
    std::vector<reject_request> refusals;
    for (int i = 0; i < 100 && refusals.empty(); ++i) {
        pass(duration(20));
        tick();
        refusals = all<reject_request>();
    }
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().status, 503U);
    EXPECT_GT(refusals.front().retryAfter.count(), 0);
}

TEST_F(GatewayPipe, AWaitingRequestGoesToTheFirstGroupThatOpens)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    control(change);
    run(makeCall(1, "/draft/x"));
    publish_fleet repaired;
    repaired.groups = {makeGroup(3, "h1", "m1")};
    control(repaired);
    tick();
    EXPECT_EQ(all<call_backend>().size(), 1U);
}

TEST_F(GatewayPipe, SendsNothingToAZoneThatIsOut)
{
    const availability_zone_id zone("mid-a");
    control(publish_change{revision(), revision(1), fleet_command{{}, "operator", {}, put_zone{{zone, zone_state::Serving}}}});
    control(publish_change{revision(1), revision(2), fleet_command{{}, "operator", {}, put_zone{{zone, zone_state::Out}}}});
    ASSERT_FALSE(pipe.fleet().acceptsWork(availability_zone_id("mid-a")));
    run(makeCall(1, "/draft/x"));
    run(makeCall(2, "/records/x"));
    EXPECT_TRUE(all<call_backend>().empty());
}

TEST_F(GatewayPipe, SendsNothingToAServerThatDrains)
{
    backend_record draining = makeBackend("p1", plainService);
    draining.state = backend_state::Draining;
    publish_fleet change;
    change.backends = {draining};
    control(change);
    for (std::uint64_t i = 1; i < 10; ++i) {
        EXPECT_EQ(start(i, "/records/x").backend, backend_id("p2"));
    }
}

TEST_F(GatewayPipe, EndsARequestSoonAfterTheTimeLimitOfItsRoute)
{
    configuration_fields fields = makeFields(2);
    fields.routes[1].timeLimit = duration(400);
    configure(fields);
    start(1, "/sign/x");
    std::vector<reject_request> refusals;
    duration waited{0};
    for (; waited < duration(2'000) && refusals.empty(); waited += duration(20)) {
        pass(duration(20));
        tick();
        refusals = all<reject_request>();
    }
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().status, 504U);
    EXPECT_LT(waited, duration(600));
}

TEST_F(GatewayPipe, FinishesWhatIsInFlightBeforeItIsDrained)
{
    const call_backend call = start(1, "/records/x");
    run(request_stop{});
    EXPECT_TRUE(all<requests_drained>().empty());
    answer(call, 200, false);
    run(backend_answer_finished{call.call});
    EXPECT_EQ(all<requests_drained>().size(), 1U);
}

TEST_F(GatewayPipe, ResumesWhereTheCallersEarlierAttemptEnded)
{
    gateway_request call = makeCall(1, "/draft/x");
    call.resumeAfter = stream_event_id(12);
    run(call);
    EXPECT_EQ(all<call_backend>().front().resumeAfter, stream_event_id(12));
}

TEST_F(GatewayPipe, WhatCanBeOnTimeGoesBeforeACallerThatComesBack)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    control(change);
    gateway_request back = makeCall(3, "/draft/x");
    back.timeLimit = duration(3'000);
    gateway_request fresh = makeCall(2, "/draft/x");
    fresh.timeLimit = duration(5'000);
    run(fresh);
    run(back);
    publish_fleet repaired;
    repaired.groups = {makeGroup(3, "h1", "m1")};
    control(repaired);
    tick();
    const auto calls = all<call_backend>();
    ASSERT_EQ(calls.size(), 2U);
    EXPECT_EQ(calls.front().request, request_id(2));
}

TEST_F(GatewayPipe, ALongPromptIsAdmittedWhereAShortOneIs)
{
    // Others have six of the eight places of each group, more than requests that are late anyway may take.
    std::vector<group_load> others;
    for (std::uint64_t epoch : {1, 2}) {
        group_load load;
        load.epoch = group_epoch(epoch);
        load.running = 6;
        others.push_back(load);
    }
    pass(duration(300));
    tick();
    control(gateway_grant{lastReport.round, revision(), duration(3'000), 2, others, {}});
    gateway_request call = makeCall(1, "/draft/x");
    call.timeLimit = duration(5'000); // Its first try.
    call.promptTokens = 20'000; // Reading it takes longer than the objective.
    run(call);
    EXPECT_EQ(all<call_backend>().size(), 1U);
}

/** A gateway that has just started. */
class StartingGateway : public GatewayPipe
{
protected:
    StartingGateway()
    {
        pipe = gateway_pipe({availability_zone_id("mid-a"), {0.2, 300.0, duration(10'000), 1.5, 5.0}, 1});
        tick();
    }

    void findControl()
    {
        configure(makeFields());
        control(publish_snapshot{fleet_snapshot{}});
        publish_fleet view;
        view.snapshot = true;
        view.backends.push_back(makeBackend("p1", plainService));
        control(view);
        tick();
        grant();
    }
};

TEST_F(StartingGateway, ServesACallerThatCameBeforeControlWasFound)
{
    run(makeCall(1, "/records/x"));
    EXPECT_TRUE(outputs.empty());
    findControl();
    pass(duration(20));
    tick();
    EXPECT_EQ(all<call_backend>().size(), 1U);
}

TEST_F(StartingGateway, RefusesThemOnceItShouldHaveFoundControl)
{
    run(makeCall(1, "/records/x"));
    live(duration(1'520));
    EXPECT_EQ(pipe.inFlight(), 0U);
    run(makeCall(2, "/records/x"));
    ASSERT_EQ(all<reject_request>().size(), 1U);
    EXPECT_EQ(all<reject_request>().front().status, 503U);
    EXPECT_EQ(all<reject_request>().front().outcome, run_outcome::DidNotRun);
}

TEST_F(StartingGateway, ForgetsACallerThatLeavesMeanwhile)
{
    run(makeCall(1, "/records/x"));
    run(caller_disconnected{request_id(1)});
    EXPECT_EQ(pipe.inFlight(), 0U);
    findControl();
    pass(duration(20));
    tick();
    EXPECT_TRUE(all<call_backend>().empty());
}
