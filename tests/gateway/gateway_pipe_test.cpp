#include <carawayloft/gateway/gateway_pipe.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

/** A gateway with a configuration, two groups of the large model and two servers outside any group. */
class GatewayPipe : public ::testing::Test
{
protected:
    GatewayPipe()
        : pipe({availability_zone_id("mid-a"), {0.2, 300.0, duration(10'000), 1.5, 5.0}, 1})
    {
        configure(makeFields());
        receive(publish_snapshot{fleet_snapshot{}});
        publish_fleet view;
        view.snapshot = true;
        for (const char *id : {"h1", "m1", "h2", "m2"}) {
            view.backends.push_back(makeBackend(id, engineService));
        }
        for (const char *id : {"p1", "p2"}) {
            view.backends.push_back(makeBackend(id, plainService));
        }
        view.groups = {makeGroup(1, "h1", "m1"), makeGroup(2, "h2", "m2")};
        receive(view);
        tick();
        grant();
        advance(duration(11'000)); // The gateway has its share of the retry slack after one window.
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
        step(configuration_in_force{
            std::make_shared<const service_configuration>(std::get<service_configuration>(service_configuration::create(std::move(fields))))});
    }

    const std::vector<gateway_pipe_output> &step(const gateway_pipe_input &in)
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

    void receive(peer_message message)
    {
        step(control_message{std::move(message)});
    }

    void tick()
    {
        step(request_tick{});
    }

    void advance(duration time)
    {
        now += time;
    }

    /** Advances the time in steps of a tick, as in a running process. */
    void runFor(duration time)
    {
        for (duration elapsed{0}; elapsed < time; elapsed += duration(20)) {
            advance(duration(20));
            tick();
        }
    }

    void grant(std::uint32_t gateways = 1)
    {
        receive(gateway_grant{lastReport.round, revision(), duration(3'000), gateways, {}, {}, {}});
    }

    gateway_request makeRequest(std::uint64_t id, const std::string &path)
    {
        gateway_request request;
        request.request = request_id(id);
        request.name = "r" + std::to_string(id);
        request.host = "ledger.example";
        request.path = path;
        request.key = knownKey;
        request.timeLimit = duration(4'000);
        if (path.starts_with("/draft/")) {
            request.model = largeModel;
            request.promptTokens = 500;
        }
        return request;
    }

    template<class Output>
    std::vector<Output> outputsOf() const
    {
        std::vector<Output> found;
        for (const gateway_pipe_output &each : outputs) {
            if (const auto *output = std::get_if<Output>(&each)) {
                found.push_back(*output);
            }
        }
        return found;
    }

    call_backend startCall(std::uint64_t id, const std::string &path)
    {
        step(makeRequest(id, path));
        const auto calls = outputsOf<call_backend>();
        EXPECT_EQ(calls.size(), 1U);
        return calls.empty() ? call_backend{} : calls.front();
    }

    void answer(const call_backend &call, std::uint32_t status, bool isStream, bool notExecuted = false)
    {
        step(backend_answer_started{call.call, status, notExecuted, false, false, isStream});
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

TEST_F(GatewayPipe, RejectsARequestWithoutARoute)
{
    step(makeRequest(1, "/nowhere/x"));
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().status, 404U);
}

TEST_F(GatewayPipe, RejectsAnUnknownKey)
{
    gateway_request request = makeRequest(1, "/records/x");
    request.key = access_key("stolen");
    step(request);
    EXPECT_EQ(outputsOf<reject_request>().front().status, 401U);
}

TEST_F(GatewayPipe, RejectsKeyedRequestsOnceTheLeaseHasExpired)
{
    advance(duration(3'100));
    step(makeRequest(1, "/records/x"));
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().status, 503U);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::DidNotRun);
    EXPECT_FALSE(pipe.isReady(now));
}

TEST_F(GatewayPipe, AGrantForARevisionNotInForceDoesNotExtendTheLease)
{
    advance(duration(2'900));
    tick();
    receive(gateway_grant{lastReport.round, revision(7), duration(3'000), 1, {}, {}, {}});
    advance(duration(200));
    step(makeRequest(1, "/records/x"));
    EXPECT_EQ(outputsOf<reject_request>().front().status, 503U);
}

TEST_F(GatewayPipe, TheLeaseRunsFromTheReportAndNotFromTheGrant)
{
    tick();
    const gateway_report early = lastReport;
    advance(duration(2'000));
    receive(gateway_grant{early.round, revision(), duration(3'000), 1, {}, {}, {}});
    advance(duration(1'100));
    EXPECT_FALSE(pipe.isReady(now));
}

TEST_F(GatewayPipe, TheCallNamesAccountAndBackendServer)
{
    const call_backend call = startCall(1, "/records/x");
    EXPECT_EQ(call.account, client_account_id("firm"));
    EXPECT_TRUE(call.backend == backend_id("p1") || call.backend == backend_id("p2"));
    EXPECT_EQ(call.timeLeft, duration(4'000));
}

TEST_F(GatewayPipe, SendsTheWholeAnswer)
{
    const call_backend call = startCall(1, "/records/x");
    answer(call, 200, false);
    step(backend_bytes_received{call.call, "rec"});
    step(backend_bytes_received{call.call, "ord"});
    step(backend_answer_finished{call.call});
    ASSERT_EQ(outputsOf<send_whole_answer>().size(), 1U);
    EXPECT_EQ(outputsOf<send_whole_answer>().front().body, "record");
    EXPECT_EQ(pipe.inFlight(), 0U);
}

TEST_F(GatewayPipe, RepeatsANonIdempotentRequestOnlyIfItDidNotRun)
{
    const call_backend first = startCall(1, "/sign/x");
    EXPECT_TRUE(first.freshConnection);
    step(backend_call_failed{first.call, true, "refused"});
    const auto second = outputsOf<call_backend>();
    ASSERT_EQ(second.size(), 1U);
    step(backend_call_failed{second.front().call, false, "reset"});
    EXPECT_TRUE(outputsOf<call_backend>().empty());
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().status, 502U);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::Unknown);
}

TEST_F(GatewayPipe, DoesNotRelayAStatusThatImpliesNotExecuted)
{
    const call_backend call = startCall(1, "/sign/x");
    answer(call, 503, false);
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().status, 502U);
}

TEST_F(GatewayPipe, RepeatsANonIdempotentRequestThatWasNotExecuted)
{
    const call_backend first = startCall(1, "/sign/x");
    answer(first, 503, false, true);
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_NE(outputsOf<call_backend>().front().backend, first.backend);
}

TEST_F(GatewayPipe, RelaysAServerFailureOfANonIdempotentRequest)
{
    const call_backend call = startCall(1, "/sign/x");
    answer(call, 500, false);
    step(backend_answer_finished{call.call});
    EXPECT_EQ(outputsOf<send_whole_answer>().size(), 1U);
}

TEST_F(GatewayPipe, RepeatsAnIdempotentRequestElsewhereAfterAServerFailure)
{
    const call_backend first = startCall(1, "/records/x");
    answer(first, 500, false);
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_NE(outputsOf<call_backend>().front().backend, first.backend);
}

TEST_F(GatewayPipe, RunsARequestNoMoreOftenThanItsRouteAllows)
{
    const call_backend first = startCall(1, "/records/x");
    answer(first, 500, false);
    const call_backend second = outputsOf<call_backend>().front();
    step(backend_call_failed{second.call, false, "reset"});
    EXPECT_TRUE(outputsOf<call_backend>().empty());
    EXPECT_EQ(outputsOf<reject_request>().size(), 1U);
}

TEST_F(GatewayPipe, DropsAnAnswerToAnotherRequest)
{
    const call_backend call = startCall(1, "/sign/x");
    step(backend_answer_started{call.call, 200, false, false, true, false});
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::Unknown);
}

TEST_F(GatewayPipe, ResumesAStreamElsewhereAfterItsLastCompleteEvent)
{
    const call_backend first = startCall(1, "/draft/x");
    answer(first, 200, true);
    EXPECT_EQ(outputsOf<begin_stream>().size(), 1U);
    step(backend_bytes_received{first.call, event(1) + event(2) + "id: 3\nda"});
    EXPECT_EQ(outputsOf<continue_answer>().front().bytes, event(1) + event(2));
    step(backend_call_failed{first.call, false, "reset"});
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    const call_backend second = outputsOf<call_backend>().front();
    EXPECT_NE(second.backend, first.backend);
    EXPECT_EQ(second.resumeAfter, stream_event_id(2));
    answer(second, 200, true);
    EXPECT_TRUE(outputsOf<begin_stream>().empty());
    step(backend_bytes_received{second.call, event(3)});
    EXPECT_EQ(outputsOf<continue_answer>().front().bytes, event(3));
    step(backend_answer_finished{second.call});
    EXPECT_EQ(outputsOf<finish_answer>().size(), 1U);
}

TEST_F(GatewayPipe, AStreamThatEndsInsideAnEventIsIncomplete)
{
    const call_backend first = startCall(1, "/draft/x");
    answer(first, 200, true);
    step(backend_bytes_received{first.call, event(1) + "id: 2\n"});
    step(backend_answer_finished{first.call});
    EXPECT_TRUE(outputsOf<finish_answer>().empty());
    EXPECT_EQ(outputsOf<call_backend>().size(), 1U);
}

TEST_F(GatewayPipe, CutsAStreamThatNoServerResumes)
{
    const call_backend first = startCall(1, "/draft/x");
    answer(first, 200, true);
    step(backend_bytes_received{first.call, event(1)});
    step(backend_call_failed{first.call, false, "reset"});
    const call_backend second = outputsOf<call_backend>().front();
    step(backend_call_failed{second.call, false, "reset"});
    EXPECT_EQ(outputsOf<abort_answer>().size(), 1U);
    EXPECT_TRUE(outputsOf<finish_answer>().empty());
}

TEST_F(GatewayPipe, ProbesASilentGroupAndMovesItsStreamsOnceAMemberIsUnreachable)
{
    const call_backend call = startCall(1, "/draft/x");
    answer(call, 200, true);
    step(backend_bytes_received{call.call, event(1)});
    std::vector<probe_backend> probes;
    for (int i = 0; i < 50 && probes.empty(); ++i) {
        advance(duration(20));
        tick();
        probes = outputsOf<probe_backend>();
    }
    ASSERT_EQ(probes.size(), 2U);
    step(probe_finished{probes.front().probe, true});
    EXPECT_TRUE(outputsOf<call_backend>().empty());
    step(probe_finished{probes.back().probe, false});
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_NE(outputsOf<call_backend>().front().backend, call.backend);
    EXPECT_EQ(lastReport.unreachable, std::vector<backend_id>{probes.back().backend});
}

TEST_F(GatewayPipe, DoesNotProbeGroupsAfterAPauseOfTheProcess)
{
    const call_backend call = startCall(1, "/draft/x");
    answer(call, 200, true);
    step(backend_bytes_received{call.call, event(1)});
    runFor(duration(60));
    advance(duration(500));
    tick();
    EXPECT_TRUE(outputsOf<probe_backend>().empty());
}

TEST_F(GatewayPipe, MovesStreamsOffAClosedGroup)
{
    const call_backend call = startCall(1, "/draft/x");
    answer(call, 200, true);
    step(backend_bytes_received{call.call, event(1)});
    publish_fleet change;
    change.retiredGroups = {{call.backend == backend_id("h1") ? group_epoch(1) : group_epoch(2)}};
    receive(change);
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_EQ(outputsOf<call_backend>().front().resumeAfter, stream_event_id(1));
}

TEST_F(GatewayPipe, CancelsTheCallOfACallerThatDisconnected)
{
    const call_backend call = startCall(1, "/draft/x");
    step(caller_disconnected{request_id(1)});
    ASSERT_EQ(outputsOf<cancel_call>().size(), 1U);
    EXPECT_EQ(outputsOf<cancel_call>().front().call, call.call);
    EXPECT_EQ(pipe.inFlight(), 0U);
}

TEST_F(GatewayPipe, RejectsWithARetryDelayWhenNoGroupServes)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    receive(change);
    step(makeRequest(1, "/draft/x"));
    EXPECT_TRUE(outputsOf<reject_request>().empty());
    std::vector<reject_request> rejections;
    for (int i = 0; i < 100 && rejections.empty(); ++i) {
        advance(duration(20));
        tick();
        rejections = outputsOf<reject_request>();
    }
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().status, 503U);
    EXPECT_GT(rejections.front().retryAfter.count(), 0);
}

TEST_F(GatewayPipe, SendsAWaitingRequestToTheFirstGroupThatOpens)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    receive(change);
    step(makeRequest(1, "/draft/x"));
    publish_fleet repaired;
    repaired.groups = {makeGroup(3, "h1", "m1")};
    receive(repaired);
    tick();
    EXPECT_EQ(outputsOf<call_backend>().size(), 1U);
}

TEST_F(GatewayPipe, SendsNothingToAZoneOutOfService)
{
    const availability_zone_id zone("mid-a");
    receive(publish_change{revision(), revision(1), fleet_command{{}, "operator", {}, put_zone{{zone, zone_state::Serving}}}});
    receive(publish_change{revision(1), revision(2), fleet_command{{}, "operator", {}, put_zone{{zone, zone_state::Out}}}});
    ASSERT_FALSE(pipe.fleet().acceptsWork(availability_zone_id("mid-a")));
    step(makeRequest(1, "/draft/x"));
    step(makeRequest(2, "/records/x"));
    EXPECT_TRUE(outputsOf<call_backend>().empty());
}

TEST_F(GatewayPipe, SendsNothingToADrainingServer)
{
    backend_record draining = makeBackend("p1", plainService);
    draining.state = backend_state::Draining;
    publish_fleet change;
    change.backends = {draining};
    receive(change);
    for (std::uint64_t i = 1; i < 10; ++i) {
        EXPECT_EQ(startCall(i, "/records/x").backend, backend_id("p2"));
    }
}

TEST_F(GatewayPipe, EndsARequestSoonAfterItsTimeLimit)
{
    configuration_fields fields = makeFields(2);
    fields.routes[1].timeLimit = duration(400);
    configure(fields);
    startCall(1, "/sign/x");
    std::vector<reject_request> rejections;
    duration waited{0};
    for (; waited < duration(2'000) && rejections.empty(); waited += duration(20)) {
        advance(duration(20));
        tick();
        rejections = outputsOf<reject_request>();
    }
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().status, 504U);
    EXPECT_LT(waited, duration(600));
}

TEST_F(GatewayPipe, IsDrainedOnceNoRequestIsInFlight)
{
    const call_backend call = startCall(1, "/records/x");
    step(request_stop{});
    EXPECT_TRUE(outputsOf<requests_drained>().empty());
    answer(call, 200, false);
    step(backend_answer_finished{call.call});
    EXPECT_EQ(outputsOf<requests_drained>().size(), 1U);
}

TEST_F(GatewayPipe, ResumesAfterTheLastEventOfAnEarlierAttempt)
{
    gateway_request request = makeRequest(1, "/draft/x");
    request.resumeAfter = stream_event_id(12);
    step(request);
    EXPECT_EQ(outputsOf<call_backend>().front().resumeAfter, stream_event_id(12));
}

TEST_F(GatewayPipe, RequestsThatCanMeetTheObjectiveGoBeforeRetries)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    receive(change);
    gateway_request retry = makeRequest(3, "/draft/x");
    retry.timeLimit = duration(3'000);
    gateway_request fresh = makeRequest(2, "/draft/x");
    fresh.timeLimit = duration(5'000);
    step(fresh);
    step(retry);
    publish_fleet repaired;
    repaired.groups = {makeGroup(3, "h1", "m1")};
    receive(repaired);
    tick();
    const auto calls = outputsOf<call_backend>();
    ASSERT_EQ(calls.size(), 2U);
    EXPECT_EQ(calls.front().request, request_id(2));
}

TEST_F(GatewayPipe, ALongPromptDoesNotCountAsLateForItsLength)
{
    // Other gateways use six of the eight slots of each group, more than late requests may use.
    std::vector<group_load> others;
    for (std::uint64_t epoch : {1, 2}) {
        group_load load;
        load.epoch = group_epoch(epoch);
        load.running = 6;
        others.push_back(load);
    }
    advance(duration(300));
    tick();
    receive(gateway_grant{lastReport.round, revision(), duration(3'000), 2, others, {}, {}});
    gateway_request request = makeRequest(1, "/draft/x");
    request.timeLimit = duration(5'000); // Stated by a first attempt; a retry states less.
    request.promptTokens = 20'000; // Reading it takes longer than the objective.
    step(request);
    EXPECT_EQ(outputsOf<call_backend>().size(), 1U);
}

/** A gateway that has just started and is not connected to control yet. */
class StartingGateway : public GatewayPipe
{
protected:
    StartingGateway()
    {
        pipe = gateway_pipe({availability_zone_id("mid-a"), {0.2, 300.0, duration(10'000), 1.5, 5.0}, 1});
        tick();
    }

    void connectControl()
    {
        configure(makeFields());
        receive(publish_snapshot{fleet_snapshot{}});
        publish_fleet view;
        view.snapshot = true;
        view.backends.push_back(makeBackend("p1", plainService));
        receive(view);
        tick();
        grant();
    }
};

TEST_F(StartingGateway, ServesARequestThatArrivedBeforeControlWasFound)
{
    step(makeRequest(1, "/records/x"));
    EXPECT_TRUE(outputs.empty());
    connectControl();
    advance(duration(20));
    tick();
    EXPECT_EQ(outputsOf<call_backend>().size(), 1U);
}

TEST_F(StartingGateway, RejectsRequestsOnceTheStartupTimeIsOver)
{
    step(makeRequest(1, "/records/x"));
    runFor(duration(1'520));
    EXPECT_EQ(pipe.inFlight(), 0U);
    step(makeRequest(2, "/records/x"));
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().status, 503U);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::DidNotRun);
}

TEST_F(StartingGateway, DropsADeferredRequestWhenItsCallerDisconnects)
{
    step(makeRequest(1, "/records/x"));
    step(caller_disconnected{request_id(1)});
    EXPECT_EQ(pipe.inFlight(), 0U);
    connectControl();
    advance(duration(20));
    tick();
    EXPECT_TRUE(outputsOf<call_backend>().empty());
}

TEST_F(GatewayPipe, AnAnswerWithoutEndIsAbandoned)
{
    const call_backend call = startCall(1, "/records/x");
    answer(call, 200, false);
    bool cancelled = false;
    for (std::size_t sent = 0; sent <= maxWholeAnswerBytes && !cancelled; sent += 65'536) {
        step(backend_bytes_received{call.call, std::string(65'536, 'x')});
        cancelled = !outputsOf<cancel_call>().empty();
    }
    EXPECT_TRUE(cancelled);
    EXPECT_EQ(outputsOf<call_backend>().size(), 1U); // Another server gets the request.
}

TEST_F(GatewayPipe, AStreamedEventWithoutEndIsAbandoned)
{
    const call_backend call = startCall(1, "/draft/x");
    answer(call, 200, true);
    step(backend_bytes_received{call.call, event(1)});
    bool cancelled = false;
    for (std::size_t sent = 0; sent <= maxEventBytes && !cancelled; sent += 4'096) {
        step(backend_bytes_received{call.call, std::string(4'096, 'x')});
        cancelled = !outputsOf<cancel_call>().empty();
    }
    EXPECT_TRUE(cancelled);
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_EQ(outputsOf<call_backend>().front().resumeAfter, stream_event_id(1));
}

TEST_F(GatewayPipe, AStreamThatItsCallerDoesNotTakeIsNotKeptWithoutEnd)
{
    const call_backend call = startCall(1, "/draft/x");
    answer(call, 200, true);
    int events = 0;
    std::size_t relayed = 0;
    std::vector<pause_call> pauses;
    while (pauses.empty() && relayed < 2 * maxUntakenBytes) {
        step(backend_bytes_received{call.call, event(++events)});
        for (const continue_answer &each : outputsOf<continue_answer>()) {
            relayed += each.bytes.size();
        }
        pauses = outputsOf<pause_call>();
    }
    ASSERT_EQ(pauses.size(), 1U);
    EXPECT_TRUE(pauses.front().paused);
    step(answer_bytes_taken{request_id(1), relayed});
    ASSERT_EQ(outputsOf<pause_call>().size(), 1U);
    EXPECT_FALSE(outputsOf<pause_call>().front().paused);
}

TEST_F(GatewayPipe, AServerIsNotTakenForStalledWhileTheCallerIsTheSlowOne)
{
    const call_backend call = startCall(1, "/draft/x");
    answer(call, 200, true);
    for (int events = 1; outputsOf<pause_call>().empty(); ++events) {
        step(backend_bytes_received{call.call, event(events)});
    }
    for (duration elapsed{0}; elapsed < duration(2'500); elapsed += duration(20)) {
        advance(duration(20));
        tick();
        EXPECT_TRUE(outputsOf<cancel_call>().empty());
        EXPECT_TRUE(outputsOf<group_suspended>().empty());
    }
}

TEST_F(GatewayPipe, ManyAnswersWithoutEndTogetherAreNotKept)
{
    std::vector<call_backend> calls;
    for (std::uint64_t id = 1; id <= 2 * maxKeptAnswerBytes / maxWholeAnswerBytes; ++id) {
        calls.push_back(startCall(id, "/records/x"));
        answer(calls.back(), 200, false);
    }
    std::size_t kept = 0;
    for (const call_backend &call : calls) {
        bool cancelled = false;
        std::size_t own = 0;
        while (own < maxWholeAnswerBytes && !cancelled) {
            step(backend_bytes_received{call.call, std::string(65'536, 'x')});
            own += 65'536;
            cancelled = !outputsOf<cancel_call>().empty();
        }
        kept += cancelled ? 0 : own;
    }
    EXPECT_LE(kept, maxKeptAnswerBytes);
}

/** A gateway whose callers send requests with a part of a prompt that may crash servers. */
class GatewayQuarantine : public GatewayPipe
{
protected:
    gateway_request makeSuspect(std::uint64_t id)
    {
        gateway_request request = makeRequest(id, "/draft/x");
        request.traits = {request_trait("request:" + std::to_string(id)), request_trait("part:dead")};
        return request;
    }

    call_backend startSuspect(std::uint64_t id)
    {
        step(makeSuspect(id));
        const auto calls = outputsOf<call_backend>();
        EXPECT_EQ(calls.size(), 1U);
        return calls.empty() ? call_backend{} : calls.front();
    }

    void quarantine()
    {
        receive(publish_change{revision(), revision(1), fleet_command{{}, "test", {}, quarantine_trait{{engineService, request_trait("part:dead"), 3}}}});
    }

    void suspect()
    {
        advance(duration(300));
        tick();
        receive(gateway_grant{lastReport.round, revision(), duration(3'000), 1, {}, {}, {}, {{engineService, request_trait("part:dead")}}});
    }
};

TEST_F(GatewayQuarantine, ReportsTheTraitsOfARequestWhoseServerClosedTheConnectionUnanswered)
{
    const call_backend call = startSuspect(1);
    step(backend_call_failed{call.call, false, "reset", true});
    EXPECT_EQ(outputsOf<unanswered_call_lost>().size(), 1U);
    EXPECT_EQ(outputsOf<call_backend>().size(), 1U);
    runFor(duration(300));
    ASSERT_EQ(lastReport.exposures.size(), 1U);
    EXPECT_EQ(lastReport.exposures.front().backend, call.backend);
    EXPECT_EQ(lastReport.exposures.front().requests.front().traits, makeSuspect(1).traits);
}

TEST_F(GatewayQuarantine, DoesNotReportARequestThatItsServerWasAnswering)
{
    const call_backend call = startSuspect(1);
    answer(call, 200, true);
    step(backend_bytes_received{call.call, event(1)});
    advance(duration(100));
    step(backend_call_failed{call.call, false, "reset", true});
    EXPECT_TRUE(outputsOf<unanswered_call_lost>().empty());
}

TEST_F(GatewayQuarantine, DoesNotRepeatASuspectWhoseServerEnded)
{
    suspect();
    const call_backend call = startSuspect(1);
    step(backend_call_failed{call.call, false, "reset", true});
    EXPECT_TRUE(outputsOf<call_backend>().empty());
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::Unknown);
}

TEST_F(GatewayQuarantine, ReportsThatAServerSurvivedASuspect)
{
    suspect();
    const call_backend call = startSuspect(1);
    answer(call, 200, true);
    step(backend_bytes_received{call.call, event(1)});
    advance(duration(100));
    step(backend_bytes_received{call.call, event(2)});
    runFor(duration(300));
    ASSERT_EQ(lastReport.survivals.size(), 1U);
    EXPECT_EQ(lastReport.survivals.front().subject.trait, request_trait("part:dead"));
}

TEST_F(GatewayQuarantine, RejectsARequestInQuarantineAtOnce)
{
    quarantine();
    step(makeSuspect(1));
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().status, 503U);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::DidNotRun);
    EXPECT_EQ(outputsOf<reject_request>().front().retryAfter, quarantineTime);
    startCall(2, "/draft/x");
}

TEST_F(GatewayQuarantine, CancelsAnUnansweredCallWhoseTraitIsQuarantinedMeanwhile)
{
    const call_backend call = startSuspect(1);
    quarantine();
    ASSERT_EQ(outputsOf<cancel_call>().size(), 1U);
    EXPECT_EQ(outputsOf<cancel_call>().front().call, call.call);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::Unknown);
}

TEST_F(GatewayQuarantine, RejectsAWaitingRequestWhoseTraitIsQuarantinedMeanwhile)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    receive(change);
    step(makeSuspect(1));
    quarantine();
    ASSERT_EQ(outputsOf<reject_request>().size(), 1U);
    EXPECT_EQ(outputsOf<reject_request>().front().outcome, run_outcome::DidNotRun);
}

TEST_F(GatewayPipe, KeepsToTheLimitThatAServerNamesInARefusalAndReportsIt)
{
    const call_backend first = startCall(1, "/records/x");
    backend_answer_started refusal{first.call, 503, true, false, false, false};
    refusal.requestLimit = 0.5;
    step(refusal);
    EXPECT_EQ(outputsOf<backend_limit_observed>().size(), 1U);
    int sent = 0;
    for (std::uint64_t i = 2; i < 60; ++i) {
        runFor(duration(60));
        step(makeRequest(i, "/records/x"));
        for (const call_backend &each : outputsOf<call_backend>()) {
            sent += each.backend == first.backend ? 1 : 0;
        }
    }
    EXPECT_LE(sent, 4);
    ASSERT_EQ(lastReport.requestLimits.size(), 1U);
    EXPECT_EQ(lastReport.requestLimits.front().backend, first.backend);
    EXPECT_EQ(lastReport.requestLimits.front().requestsPerSecond, 0.5);
}

TEST_F(GatewayPipe, KeepsToItsShareOfALimitThatAnotherGatewayWasTold)
{
    backend_record limited = makeBackend("p1", plainService);
    limited.requestLimit = 2.0;
    publish_fleet change;
    change.backends = {limited};
    receive(change);
    const auto sentWhileAsking = [&](std::uint64_t firstRequest, std::vector<request_share> shares) {
        int sent = 0;
        for (std::uint64_t i = firstRequest; i < firstRequest + 50; ++i) {
            runFor(duration(100));
            receive(gateway_grant{lastReport.round, revision(), duration(3'000), 2, {}, {}, {}, {}, shares});
            const call_backend call = startCall(i, "/records/x");
            const bool isLimited = call.backend == limited.backend;
            sent += isLimited ? 1 : 0;
            step(backend_answer_started{call.call, 200, false, false, false, false, isLimited ? std::optional(limited.requestLimit) : std::nullopt});
            step(backend_answer_finished{call.call});
        }
        return sent;
    };
    EXPECT_EQ(sentWhileAsking(1, {}), 0); // Other gateways have the shares.
    const int sent = sentWhileAsking(100, {{limited.backend, 1.0}});
    EXPECT_LE(sent, 7);
    EXPECT_GE(sent, 4);
}

TEST_F(GatewayPipe, ARequestThatAServerRefusedIsNotSentThereAgainOnAConnectionThatMayRepeatTheRefusal)
{
    backend_record draining = makeBackend("p2", plainService);
    draining.state = backend_state::Draining;
    publish_fleet change;
    change.backends = {draining};
    receive(change);
    const call_backend first = startCall(1, "/records/x");
    EXPECT_FALSE(first.freshConnection);
    answer(first, 503, false, true);
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_EQ(outputsOf<call_backend>().front().backend, first.backend);
    EXPECT_TRUE(outputsOf<call_backend>().front().freshConnection);
}

// A kept connection may be dead. Where the request may not run again, that would be the end of it.
TEST_F(GatewayPipe, TheLastPermittedRunUsesAConnectionOfItsOwn)
{
    const call_backend first = startCall(1, "/records/x");
    EXPECT_FALSE(first.freshConnection);
    step(backend_call_failed{first.call, false, "the kept connection was closed", true});
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_TRUE(outputsOf<call_backend>().front().freshConnection);
}

TEST_F(GatewayPipe, AnErrorOfTheNextServerDoesNotGetIntoAStreamThatHasBegun)
{
    const call_backend first = startCall(1, "/draft/x");
    answer(first, 200, true);
    step(backend_bytes_received{first.call, event(1)});
    step(backend_call_failed{first.call, false, "reset"});
    const call_backend second = outputsOf<call_backend>().front();
    step(backend_answer_started{second.call, 500, false, false, false, false});
    EXPECT_EQ(outputsOf<abort_answer>().size(), 1U);
    step(backend_bytes_received{second.call, "{\"error\":\"out of memory\"}"});
    step(backend_answer_finished{second.call});
    EXPECT_TRUE(outputs.empty());
}

TEST_F(GatewayPipe, AStreamWithoutAnyEventIsIncomplete)
{
    const call_backend first = startCall(1, "/draft/x");
    answer(first, 200, true);
    step(backend_answer_finished{first.call});
    EXPECT_TRUE(outputsOf<finish_answer>().empty());
    EXPECT_EQ(outputsOf<call_backend>().size(), 1U);
}

TEST_F(GatewayPipe, SendsNothingMoreToAServerThatSaidInAnAnswerThatItLeaves)
{
    const call_backend first = startCall(1, "/records/x");
    backend_answer_started last{first.call, 200, false, false, false, false};
    last.leaving = true;
    step(last);
    ASSERT_EQ(lastReport.leaving.size(), 1U);
    EXPECT_EQ(lastReport.leaving.front().backend, first.backend);
    step(backend_answer_finished{first.call});
    for (std::uint64_t id = 2; id < 42; ++id) {
        EXPECT_NE(startCall(id, "/records/x").backend, first.backend);
    }
}

TEST_F(GatewayPipe, ALaterStartOfAServerThatLeftGetsRequests)
{
    const call_backend first = startCall(1, "/records/x");
    backend_answer_started last{first.call, 200, false, false, false, false};
    last.leaving = true;
    step(last);
    publish_fleet restarted;
    restarted.backends = {makeBackend(first.backend.value(), plainService)};
    restarted.backends.front().startedAt = 2;
    receive(restarted);
    bool used = false;
    for (std::uint64_t id = 2; id < 42; ++id) {
        used = used || startCall(id, "/records/x").backend == first.backend;
    }
    EXPECT_TRUE(used);
    advance(duration(250));
    tick();
    EXPECT_TRUE(lastReport.leaving.empty());
}

TEST_F(GatewayPipe, AServerThatAsksForAPauseGetsNoRequestsUntilItsEnd)
{
    const call_backend first = startCall(1, "/records/x");
    backend_answer_started refusal{first.call, 503, true, false, false, false};
    refusal.refusalTime = duration(2'000);
    step(refusal);
    for (std::uint64_t id = 2; id < 42; ++id) {
        EXPECT_NE(startCall(id, "/records/x").backend, first.backend);
    }
    advance(duration(2'000));
    tick();
    grant();
    bool used = false;
    for (std::uint64_t id = 42; id < 82; ++id) {
        used = used || startCall(id, "/records/x").backend == first.backend;
    }
    EXPECT_TRUE(used);
}

TEST_F(GatewayPipe, AGroupWhoseHeadAsksForAPauseIsNotProbed)
{
    const call_backend first = startCall(1, "/draft/x");
    backend_answer_started refusal{first.call, 503, true, false, false, false};
    refusal.refusalTime = duration(2'000);
    step(refusal);
    EXPECT_TRUE(outputsOf<probe_backend>().empty());
    const auto second = outputsOf<call_backend>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second.front().backend, first.backend);
    answer(second.front(), 200, true);
    step(backend_bytes_received{second.front().call, event(1)});
    step(backend_answer_finished{second.front().call});
    advance(duration(1'900));
    EXPECT_EQ(startCall(2, "/draft/x").backend, second.front().backend);
}

TEST_F(GatewayPipe, AStalledStreamThatSendsAByteNowAndThenMovesToAnotherGroup)
{
    const call_backend first = startCall(1, "/draft/x");
    answer(first, 200, true);
    step(backend_bytes_received{first.call, event(1)});
    std::vector<call_backend> moved;
    for (int i = 0; i < 100 && moved.empty(); ++i) {
        advance(duration(20));
        step(backend_bytes_received{first.call, " "});
        tick();
        moved = outputsOf<call_backend>();
        grant();
    }
    ASSERT_EQ(moved.size(), 1U);
    EXPECT_NE(moved.front().backend, first.backend);
    EXPECT_EQ(moved.front().resumeAfter, stream_event_id(1));
}

TEST_F(GatewayPipe, ASlowStreamStaysWhereItIsIfNoOtherGroupWouldTakeIt)
{
    const call_backend call = startCall(1, "/draft/x");
    answer(call, 200, true);
    step(backend_bytes_received{call.call, event(1)});
    publish_fleet change;
    change.retiredGroups = {{call.backend == backend_id("h1") ? group_epoch(2) : group_epoch(1)}};
    receive(change);
    for (int i = 0; i < 150; ++i) {
        advance(duration(20));
        tick();
        EXPECT_TRUE(outputsOf<cancel_call>().empty());
        EXPECT_TRUE(outputsOf<abort_answer>().empty());
        for (const probe_backend &probe : outputsOf<probe_backend>()) {
            step(probe_finished{probe.probe, true});
        }
        grant();
    }
    step(backend_bytes_received{call.call, event(2)});
    ASSERT_EQ(outputsOf<continue_answer>().size(), 1U);
    EXPECT_EQ(outputsOf<continue_answer>().front().bytes, event(2));
}

TEST_F(GatewayPipe, FirstAttemptsOfCallersWithLessTimeThanTheRouteAllowsAreDemand)
{
    constexpr int requests = 30;
    for (int i = 1; i <= requests; ++i) {
        gateway_request request = makeRequest(i, "/draft/x");
        request.timeLimit = duration(5'000 - i * 25); // The route allows 5 s.
        step(request);
    }
    advance(duration(250));
    tick();
    ASSERT_EQ(lastReport.modelTraffic.size(), 1U);
    EXPECT_EQ(lastReport.modelTraffic.front().recentRequestsPerSecond, requests / 0.5); // Over half a second.
    EXPECT_EQ(lastReport.modelTraffic.front().returningPerSecond, 0.0);
}

namespace {

/** The route for drafts has the priorities 0 and 2, by account, and the demand is four times the capacity. */
class GatewayContention : public GatewayPipe
{
protected:
    GatewayContention()
    {
        configuration_fields fields = makeFields(2);
        fields.routes.front().priority = 2;
        fields.accounts.push_back({client_account_id("urgent"), {urgentKey}, 0});
        configure(fields);
    }

    gateway_request makeUrgent(std::uint64_t id)
    {
        gateway_request request = makeRequest(id, "/draft/x");
        request.key = urgentKey;
        return request;
    }

    void grantDemand(double requestsPerSecond)
    {
        advance(duration(250));
        tick();
        gateway_grant out{lastReport.round, revision(), duration(3'000), 1, {}, {}, {}};
        out.modelTraffic = {{largeModel, requestsPerSecond, 500.0, 100.0, engine_duration(300), requestsPerSecond, 0.0, 0.0}};
        out.classDemand = {{largeModel, request_rank(0), client_account_id("urgent"), 0.1 * requestsPerSecond, 0},
                           {largeModel, request_rank(2), client_account_id("firm"), 0.9 * requestsPerSecond, 0}};
        receive(out);
    }

    const access_key urgentKey{"key-2"};
};

} // namespace

// Guards against a rejection whose reason cannot be found in the log: rank, account, share, capacity and demand.
TEST_F(GatewayContention, ARejectionStatesWhatItWasBasedOn)
{
    grantDemand(2'000.0);
    std::vector<admission_refused> refused;
    std::vector<reject_request> rejections;
    for (std::uint64_t id = 1; id <= 20 && refused.empty(); ++id) {
        step(makeRequest(id, "/draft/x"));
        refused = outputsOf<admission_refused>();
        rejections = outputsOf<reject_request>();
    }
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().rank, request_rank(2));
    EXPECT_EQ(refused.front().account, client_account_id("firm"));
    EXPECT_EQ(refused.front().model, largeModel);
    EXPECT_GT(refused.front().share, 0.0);
    EXPECT_LT(refused.front().share, 1.0);
    EXPECT_GT(refused.front().capacity, 0.0);
    EXPECT_NEAR(refused.front().demand, 2'000.0, 1e-6);
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().status, 503U);
    EXPECT_EQ(rejections.front().outcome, run_outcome::DidNotRun);
    EXPECT_GE(rejections.front().retryAfter, duration(300));
    EXPECT_LE(rejections.front().retryAfter, duration(4'000 / 3));
}

// Guards against a rank that is rejected while a lower one is served.
TEST_F(GatewayContention, TheHigherRankIsAdmittedBeforeTheLowerOne)
{
    grantDemand(100.0);
    std::size_t refusedUrgent = 0;
    std::size_t refusedOther = 0;
    for (std::uint64_t id = 1; id <= 40; id += 2) {
        step(makeUrgent(id));
        refusedUrgent += outputsOf<admission_refused>().size();
        step(makeRequest(id + 1, "/draft/x"));
        refusedOther += outputsOf<admission_refused>().size();
    }
    EXPECT_EQ(refusedUrgent, 0U);
    EXPECT_GT(refusedOther, 5U);
}

TEST_F(GatewayContention, ReportsItsFirstAttemptsByRankAndAccount)
{
    step(makeUrgent(1));
    step(makeRequest(2, "/draft/x"));
    gateway_request retry = makeRequest(3, "/draft/x");
    retry.timeLimit = duration(2'000); // Of 5 s, so it has been rejected before.
    step(retry);
    advance(duration(250));
    tick();
    ASSERT_EQ(lastReport.classDemand.size(), 2U);
    EXPECT_EQ(lastReport.classDemand[0].requestsPerSecond, lastReport.classDemand[1].requestsPerSecond);
    EXPECT_NE(lastReport.classDemand[0].rank, lastReport.classDemand[1].rank);
    EXPECT_NE(lastReport.classDemand[0].account, lastReport.classDemand[1].account);
}

// Guards against reports that grow with the model names that callers invent.
TEST_F(GatewayContention, DoesNotReportDemandForModelsThatTheServiceDoesNotHave)
{
    gateway_request request = makeRequest(1, "/draft/x");
    request.model = model_id("invented");
    step(request);
    advance(duration(250));
    tick();
    EXPECT_TRUE(lastReport.classDemand.empty());
    EXPECT_TRUE(lastReport.modelTraffic.empty());
}

TEST_F(GatewayContention, WaitingRequestsAreSentByRankAndTheNewestFirst)
{
    publish_fleet change;
    change.retiredGroups = {{group_epoch(1)}, {group_epoch(2)}};
    receive(change);
    step(makeUrgent(1));
    step(makeRequest(2, "/draft/x"));
    step(makeUrgent(3));
    step(makeRequest(4, "/draft/x"));
    publish_fleet repaired;
    repaired.groups = {makeGroup(3, "h1", "m1")};
    receive(repaired);
    tick();
    std::vector<request_id> order;
    for (const call_backend &each : outputsOf<call_backend>()) {
        order.push_back(each.request);
    }
    EXPECT_EQ(order, (std::vector{request_id(3), request_id(1), request_id(4), request_id(2)}));
}

// Guards against engines that cannot tell the ranks apart, and against an order that callers choose where there is one rank.
TEST_F(GatewayContention, EnginesAreToldTheUrgencyOnlyWhereRanksDiffer)
{
    step(makeUrgent(1));
    const auto urgent = outputsOf<call_backend>().front().urgency;
    const call_backend other = startCall(2, "/draft/x");
    ASSERT_TRUE(urgent && other.urgency);
    EXPECT_LT(*urgent, *other.urgency);
    EXPECT_EQ(startCall(3, "/records/x").urgency, std::nullopt);
    answer(other, 200, true);
    step(backend_bytes_received{other.call, event(1)});
    step(backend_call_failed{other.call, false, "connection closed"});
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_EQ(outputsOf<call_backend>().front().urgency, 0U); // An interrupted stream.
    configure(makeFields(3));
    EXPECT_EQ(startCall(4, "/draft/x").urgency, std::nullopt);
}

// Guards against a limited head that counts as a whole group: half of the demand is admitted where the limits are half of it.
TEST_F(GatewayPipe, ServersThatNameALimitCountForNoMoreThanIt)
{
    publish_fleet change;
    for (const char *id : {"h1", "h2"}) {
        change.backends.push_back(makeBackend(id, engineService));
        change.backends.back().requestLimit = 1.0;
    }
    receive(change);
    advance(duration(250));
    tick();
    gateway_grant out{lastReport.round, revision(), duration(3'000), 1, {}, {}, {}};
    out.modelTraffic = {{largeModel, 4.0, 500.0, 100.0, engine_duration(300), 4.0, 0.0, 0.0}};
    receive(out);
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        step(makeRequest(id, "/draft/x"));
        for (const admission_refused &each : outputsOf<admission_refused>()) {
            EXPECT_DOUBLE_EQ(each.capacity, 2.0);
            ++refused;
        }
    }
    EXPECT_NEAR(static_cast<double>(refused), 10.0, 1.0);
}

// A server of 128 MB was sent every body that callers had, and ended.
TEST_F(GatewayPipe, BytesOutstandingAtAServerStayWithinThisGatewaysShare)
{
    static constexpr std::size_t bodyBytes = std::size_t{4} << 20U;
    static constexpr std::uint32_t gateways = 15;
    advance(duration(300)); // A grant answers a report that has not been answered.
    tick();
    grant(gateways);
    const auto send = [&](std::uint64_t id, const std::string &path) {
        gateway_request request = makeRequest(id, path);
        request.bytes = bodyBytes;
        step(request);
        return outputsOf<call_backend>();
    };
    const auto first = send(1, "/records/x");
    const auto second = send(2, "/records/x");
    ASSERT_EQ(first.size(), 1U);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(first.front().backend, second.front().backend);
    EXPECT_TRUE(send(3, "/records/x").empty());
    answer(first.front(), 200, false);
    EXPECT_TRUE(outputsOf<call_backend>().empty()) << "the answer has not ended";
    step(backend_answer_finished{first.front().call});
    tick();
    ASSERT_EQ(outputsOf<call_backend>().size(), 1U);
    EXPECT_EQ(outputsOf<call_backend>().front().request, request_id(3));
    EXPECT_EQ(outputsOf<call_backend>().front().backend, first.front().backend);

    ASSERT_EQ(send(4, "/draft/x").size(), 1U);
    ASSERT_EQ(send(5, "/draft/x").size(), 1U);
    EXPECT_TRUE(send(6, "/draft/x").empty()) << "both heads have a body of the largest size";
}

// A request that finds no server with room must not count as one that may have run.
TEST_F(GatewayPipe, ARequestThatFindsNoServerWithRoomIsRejectedAsNotRun)
{
    static constexpr std::size_t bodyBytes = std::size_t{4} << 20U;
    advance(duration(300)); // A grant answers a report that has not been answered.
    tick();
    grant(390);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        gateway_request request = makeRequest(id, "/records/x");
        request.bytes = bodyBytes;
        step(request);
    }
    std::vector<reject_request> rejected;
    for (int i = 0; i < 300 && rejected.empty(); ++i) {
        advance(duration(20));
        tick();
        rejected = outputsOf<reject_request>();
    }
    ASSERT_FALSE(rejected.empty());
    EXPECT_EQ(rejected.front().request, request_id(3));
    EXPECT_EQ(rejected.front().status, 503U);
    EXPECT_EQ(rejected.front().outcome, run_outcome::DidNotRun);
    EXPECT_GT(rejected.front().retryAfter, duration(0));
}
