#include <carawayloft/request/request_pipe.h>

#include "support/properties.h"

using namespace carawayloft;

static const service_id model("drafting-models");
static const service_id records("checklist-records");
static const time_point start(std::chrono::hours(1));
static constexpr wall_time wallStart{std::chrono::hours(1'000'000)};

namespace {

/** A request pipe with two groups of each service, and the outputs of its last step. */
class pipe_driver
{
public:
    pipe_driver()
        : m_pipe({availability_zone_id("mid-a")})
    {
        fleet_state fleet;
        std::uint64_t at = 0;
        const auto apply = [&](fleet_change change) { (void)fleet.apply({{}, "test", {}, std::move(change)}, revision(++at)); };
        apply(put_service{{model, service_kind::Model, 1, {}}});
        apply(put_service{{records, service_kind::Plain, 1, {}}});
        apply(put_account{{client_account_id("closedesk"), "digest", 1, 100}});
        for (const auto &[name, service] : {std::pair("m1", model), std::pair("m2", model), std::pair("r1", records), std::pair("r2", records)}) {
            host_record host;
            host.host = host_id(name);
            host.zone = availability_zone_id("mid-a");
            host.service = service;
            host.agent = endpoint(name);
            apply(put_host{host});
            apply(create_group{service, {host.host}});
        }
        step(control_message{publish_snapshot{fleet.snapshot()}});
        for (const auto &[id, group] : fleet.groups()) {
            const endpoint agent(group.hosts.front().value());
            step(agent_connected{agent});
            step(agent_message{agent, load_report{group.group, group.epoch, true, false, 0, 0, 100, 0, 0}});
        }
        m_out.clear();
    }

    const std::vector<request_pipe_output> &step(const request_pipe_input &in)
    {
        m_out = m_pipe.step(in, m_now);
        return m_out;
    }

    /** Advances the time and sends a tick. */
    const std::vector<request_pipe_output> &advance(duration time)
    {
        m_now += time;
        m_wall += time;
        return step(request_tick{m_wall});
    }

    caller_request makeRequest(std::uint64_t id, const service_id &service, const std::string &key = {}) const
    {
        caller_request request;
        request.request = request_id(id);
        request.keyDigest = "digest";
        request.key = idempotency_key(key);
        request.service = service;
        request.kind = service == model ? service_kind::Model : service_kind::Plain;
        request.stream = service == model;
        request.method = "POST";
        request.timeLimit = duration(10'000);
        request.receivedAt = m_wall;
        return request;
    }

    /** The first output of type @p Output in the last step, or nullptr. */
    template<class Output>
    const Output *find() const
    {
        for (const request_pipe_output &each : m_out) {
            if (const auto *found = std::get_if<Output>(&each)) {
                return found;
            }
        }
        return nullptr;
    }

    /** The request that the last step dispatched, or nullptr; sets @p agent to the agent it was sent to. */
    const dispatch_request *dispatched(endpoint *agent = nullptr) const
    {
        for (const request_pipe_output &each : m_out) {
            const auto *sent = std::get_if<send_to_agent>(&each);
            const auto *request = sent == nullptr ? nullptr : std::get_if<dispatch_request>(&sent->message);
            if (request != nullptr) {
                if (agent != nullptr) {
                    *agent = sent->agent;
                }
                return request;
            }
        }
        return nullptr;
    }

    /** The first call of type @p Call that the last step sent to control, or nullptr. */
    template<class Call>
    const Call *callToControl() const
    {
        for (const request_pipe_output &each : m_out) {
            const auto *sent = std::get_if<send_to_control>(&each);
            const auto *call = sent == nullptr ? nullptr : std::get_if<Call>(&sent->message);
            if (call != nullptr) {
                return call;
            }
        }
        return nullptr;
    }

    request_pipe &pipe()
    {
        return m_pipe;
    }

private:
    request_pipe m_pipe;
    time_point m_now = start;
    wall_time m_wall = wallStart;
    std::vector<request_pipe_output> m_out;
};

} // namespace

TEST(RequestPipe, DispatchesANonIdempotentRequestAfterItsClaimAndAnswersItAfterItsRecord)
{
    pipe_driver driver;
    driver.step(driver.makeRequest(1, records, "k"));
    EXPECT_EQ(driver.dispatched(), nullptr);
    const auto *open = driver.callToControl<open_claim_call>();
    ASSERT_NE(open, nullptr);
    driver.step(control_message{claim_call_reply{open->call, true, {claim_verdict::Granted, 0, {}, {}}}});
    endpoint agent;
    const dispatch_request *sent = driver.dispatched(&agent);
    ASSERT_NE(sent, nullptr);
    const attempt_number attempt = sent->attempt;
    driver.step(agent_message{agent, answer_head{request_id(1), attempt, 200, "application/json", {}}});
    driver.step(agent_message{agent, answer_chunk{request_id(1), attempt, stream_offset(0), "{}"}});
    driver.step(agent_message{agent, answer_end{request_id(1), attempt, stream_offset(1), answer_ending::Complete}});
    EXPECT_EQ(driver.find<finish_answer>(), nullptr);
    const auto *close = driver.callToControl<close_claim_call>();
    ASSERT_NE(close, nullptr);
    EXPECT_EQ(close->claim.outcome, claim_outcome::Answered);
    EXPECT_EQ(close->claim.body, "{}");
    driver.step(control_message{claim_call_reply{close->call, true, {claim_verdict::Closed, 0, {}, {}}}});
    EXPECT_NE(driver.find<finish_answer>(), nullptr);
}

TEST(RequestPipe, DoesNotRetryANonIdempotentRequestAfterALostConnection)
{
    pipe_driver driver;
    driver.step(driver.makeRequest(1, records, "k"));
    driver.step(control_message{claim_call_reply{driver.callToControl<open_claim_call>()->call, true, {claim_verdict::Granted, 0, {}, {}}}});
    endpoint agent;
    ASSERT_NE(driver.dispatched(&agent), nullptr);
    driver.step(agent_disconnected{agent});
    EXPECT_EQ(driver.dispatched(), nullptr);
    ASSERT_NE(driver.find<reject_request>(), nullptr);
    EXPECT_EQ(driver.find<reject_request>()->outcome, run_outcome::Unknown);
    EXPECT_EQ(driver.callToControl<close_claim_call>()->claim.outcome, claim_outcome::Unknown);
}

TEST(RequestPipe, RetriesARefusedNonIdempotentRequestOnlyUnderAClaim)
{
    pipe_driver driver;
    driver.step(driver.makeRequest(1, records, "k"));
    driver.step(control_message{claim_call_reply{driver.callToControl<open_claim_call>()->call, true, {claim_verdict::Granted, 0, {}, {}}}});
    endpoint first;
    const attempt_number attempt = driver.dispatched(&first)->attempt;
    driver.step(agent_message{first, request_refused{request_id(1), attempt, refusal_reason::ZoneOut, {}}});
    endpoint second;
    ASSERT_NE(driver.dispatched(&second), nullptr);
    EXPECT_NE(first, second);

    driver.step(driver.makeRequest(2, records));
    endpoint agent;
    const attempt_number only = driver.dispatched(&agent)->attempt;
    driver.step(agent_message{agent, request_refused{request_id(2), only, refusal_reason::Overloaded, duration(2'000)}});
    EXPECT_EQ(driver.dispatched(), nullptr);
    ASSERT_NE(driver.find<reject_request>(), nullptr);
    EXPECT_EQ(driver.find<reject_request>()->outcome, run_outcome::DidNotRun);
    EXPECT_EQ(driver.find<reject_request>()->retryAfter, duration(2'000));
}

TEST(RequestPipe, ResumesAStreamAtItsOffset)
{
    pipe_driver driver;
    driver.step(driver.makeRequest(1, model));
    endpoint agent;
    const attempt_number attempt = driver.dispatched(&agent)->attempt;
    driver.step(agent_message{agent, answer_head{request_id(1), attempt, 200, "text/event-stream", {}}});
    driver.step(agent_message{agent, answer_chunk{request_id(1), attempt, stream_offset(0), "a"}});
    driver.step(agent_message{agent, answer_chunk{request_id(1), attempt, stream_offset(1), "b"}});
    driver.step(agent_disconnected{agent});
    endpoint next;
    const dispatch_request *again = driver.dispatched(&next);
    ASSERT_NE(again, nullptr);
    EXPECT_EQ(again->resumeAt, stream_offset(2));
    EXPECT_GT(again->attempt, attempt);
    EXPECT_NE(next, agent);
    EXPECT_NE(driver.find<stream_resumed>(), nullptr);
    // A delayed frame of the failed attempt is dropped.
    driver.step(agent_message{next, answer_chunk{request_id(1), attempt, stream_offset(2), "x"}});
    EXPECT_EQ(driver.find<continue_answer>(), nullptr);
}

TEST(RequestPipe, AnErrorOfTheNextGroupDoesNotGetIntoAStreamThatHasBegun)
{
    pipe_driver driver;
    driver.step(driver.makeRequest(1, model));
    endpoint agent;
    const attempt_number attempt = driver.dispatched(&agent)->attempt;
    driver.step(agent_message{agent, answer_head{request_id(1), attempt, 200, "text/event-stream", {}}});
    driver.step(agent_message{agent, answer_chunk{request_id(1), attempt, stream_offset(0), "a"}});
    driver.step(agent_disconnected{agent});
    endpoint next;
    const attempt_number second = driver.dispatched(&next)->attempt;
    driver.step(agent_message{next, answer_head{request_id(1), second, 500, "application/json", {}}});
    EXPECT_EQ(driver.find<continue_answer>(), nullptr);
    EXPECT_EQ(driver.find<finish_answer>(), nullptr);
    const bool wentOn = driver.find<abort_answer>() != nullptr || driver.dispatched() != nullptr;
    EXPECT_TRUE(wentOn);
    driver.step(agent_message{next, answer_chunk{request_id(1), second, stream_offset(1), "{\"error\":\"out of memory\"}"}});
    EXPECT_EQ(driver.find<continue_answer>(), nullptr);
    driver.step(agent_message{next, answer_end{request_id(1), second, stream_offset(2), answer_ending::Complete}});
    EXPECT_EQ(driver.find<finish_answer>(), nullptr);
}

TEST(RequestPipe, ExcludesQueueingTimeFromTheLatencyOfAGroup)
{
    pipe_driver driver;
    std::map<endpoint, int> answered;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        driver.step(driver.makeRequest(id, model));
        endpoint agent;
        const attempt_number attempt = driver.dispatched(&agent)->attempt;
        // The backend server of group m1 is faster, but requests are queued for it.
        const bool queued = agent == endpoint("m1");
        driver.advance(duration(queued ? 400 : 100));
        driver.step(agent_message{agent, answer_head{request_id(id), attempt, 200, {}, duration(queued ? 390 : 0)}});
        driver.step(agent_message{agent, answer_chunk{request_id(id), attempt, stream_offset(0), "x"}});
        driver.step(agent_message{agent, answer_end{request_id(id), attempt, stream_offset(1), answer_ending::Complete}});
        ++answered[agent];
    }
    EXPECT_GT(answered[endpoint("m1")], answered[endpoint("m2")]);
}

TEST(RequestPipe, GrantsCreditOnlyForConsumedChunks)
{
    pipe_driver driver;
    driver.step(driver.makeRequest(1, model));
    endpoint agent;
    const dispatch_request sent = *driver.dispatched(&agent);
    driver.step(agent_message{agent, answer_head{request_id(1), sent.attempt, 200, {}, {}}});
    std::uint32_t granted = 0;
    const auto countCredit = [&] {
        const auto *grant = driver.find<send_to_agent>();
        granted += grant == nullptr ? 0 : std::get<grant_credit>(grant->message).chunks;
    };
    for (std::uint64_t i = 0; i < sent.credit; ++i) {
        driver.step(agent_message{agent, answer_chunk{request_id(1), sent.attempt, stream_offset(i), "x"}});
        countCredit();
    }
    EXPECT_EQ(granted, 0U);
    for (std::uint64_t i = 0; i < sent.credit; ++i) {
        driver.step(caller_consumed_chunk{request_id(1)});
        countCredit();
    }
    EXPECT_EQ(granted, sent.credit);
}

TEST(RequestPipe, RejectsNewRequestsAndFinishesOthersWhileStopping)
{
    pipe_driver driver;
    driver.step(driver.makeRequest(1, model));
    endpoint agent;
    const attempt_number attempt = driver.dispatched(&agent)->attempt;
    driver.step(request_stop{});
    EXPECT_EQ(driver.find<requests_drained>(), nullptr);
    driver.step(driver.makeRequest(2, model));
    ASSERT_NE(driver.find<reject_request>(), nullptr);
    EXPECT_EQ(driver.find<reject_request>()->outcome, run_outcome::DidNotRun);
    driver.step(agent_message{agent, answer_head{request_id(1), attempt, 200, {}, {}}});
    driver.step(agent_message{agent, answer_end{request_id(1), attempt, stream_offset(0), answer_ending::Complete}});
    EXPECT_NE(driver.find<requests_drained>(), nullptr);
}

/**
 * The reference model counts how often agents ran each request. Agents answer, refuse, break off an answer or
 * disconnect, control replies late or not at all, and time passes. Each request ends exactly once, a
 * non-idempotent request runs at most once, and one that is reported as not run has not run.
 */
RC_GTEST_PROP(RequestPipeProperty, EndsEachRequestOnceAndRunsANonIdempotentOneAtMostOnce, ())
{
    pipe_driver driver;
    struct attempt {
        endpoint agent;
        dispatch_request request;
    };
    std::vector<attempt> openAttempts;
    std::vector<std::uint64_t> openClaimCalls;
    std::map<std::uint64_t, close_claim> closeClaimCalls;
    std::map<request_id, int> ran;
    std::map<request_id, int> ended;
    std::map<request_id, bool> isNonIdempotent;
    const auto recordOutputs = [&](const std::vector<request_pipe_output> &outputs) {
        for (const request_pipe_output &each : outputs) {
            if (const auto *sent = std::get_if<send_to_agent>(&each)) {
                if (const auto *request = std::get_if<dispatch_request>(&sent->message)) {
                    openAttempts.push_back({sent->agent, *request});
                }
            } else if (const auto *call = std::get_if<send_to_control>(&each)) {
                if (const auto *claim = std::get_if<open_claim_call>(&call->message)) {
                    openClaimCalls.push_back(claim->call);
                } else if (const auto *close = std::get_if<close_claim_call>(&call->message)) {
                    closeClaimCalls[close->call] = close->claim;
                }
            } else if (const auto *rejected = std::get_if<reject_request>(&each)) {
                ++ended[rejected->request];
                const bool hasRun = ran[rejected->request] > 0;
                RC_ASSERT(!(rejected->outcome == run_outcome::DidNotRun && hasRun && isNonIdempotent[rejected->request]));
            } else if (const auto *finished = std::get_if<finish_answer>(&each)) {
                ++ended[finished->request];
            } else if (const auto *cut = std::get_if<abort_answer>(&each)) {
                ++ended[cut->request];
            }
        }
    };
    std::uint64_t lastRequest = 0;
    const auto takeRandomAttempt = [&] {
        const auto index = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, openAttempts.size()));
        const attempt chosen = openAttempts[static_cast<std::size_t>(index)];
        openAttempts.erase(openAttempts.begin() + index);
        return chosen;
    };
    const auto answer = [&](const attempt &of, answer_ending ending) {
        ++ran[of.request.request];
        RC_ASSERT(!(isNonIdempotent[of.request.request] && ran[of.request.request] > 1));
        recordOutputs(driver.step(agent_message{of.agent, answer_head{of.request.request, of.request.attempt, 200, {}, {}}}));
        recordOutputs(driver.step(agent_message{of.agent, answer_chunk{of.request.request, of.request.attempt, of.request.resumeAt, "x"}}));
        recordOutputs(driver.step(agent_message{of.agent, answer_end{of.request.request, of.request.attempt, next(of.request.resumeAt), ending}}));
    };
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1: {
            const bool nonIdempotent = *rc::gen::arbitrary<bool>();
            const bool withKey = *rc::gen::arbitrary<bool>();
            isNonIdempotent[request_id(++lastRequest)] = nonIdempotent;
            recordOutputs(
                driver.step(driver.makeRequest(lastRequest, nonIdempotent ? records : model, withKey ? "k" + std::to_string(lastRequest) : std::string())));
            break;
        }
        case 2:
            if (!openClaimCalls.empty()) {
                const std::uint64_t call = openClaimCalls.front();
                openClaimCalls.erase(openClaimCalls.begin());
                const auto verdict = static_cast<claim_verdict>(*rc::gen::inRange(0, 4));
                recordOutputs(driver.step(control_message{claim_call_reply{call, *rc::gen::arbitrary<bool>(), {verdict, 200, {}, "recorded"}}}));
            }
            break;
        case 3:
            if (!closeClaimCalls.empty()) {
                const std::uint64_t call = closeClaimCalls.begin()->first;
                closeClaimCalls.erase(closeClaimCalls.begin());
                recordOutputs(driver.step(control_message{claim_call_reply{call, true, {claim_verdict::Closed, 0, {}, {}}}}));
            }
            break;
        case 4:
            if (!openAttempts.empty()) {
                answer(takeRandomAttempt(), answer_ending::Complete);
            }
            break;
        case 5:
            if (!openAttempts.empty()) {
                answer(takeRandomAttempt(), answer_ending::Broken);
            }
            break;
        case 6:
            if (!openAttempts.empty()) {
                const attempt of = takeRandomAttempt();
                recordOutputs(driver.step(agent_message{of.agent, request_refused{of.request.request, of.request.attempt, refusal_reason::Overloaded, {}}}));
            }
            break;
        case 7: {
            const endpoint agent(*rc::gen::element<std::string>("m1", "m2", "r1", "r2"));
            recordOutputs(driver.step(agent_disconnected{agent}));
            recordOutputs(driver.step(agent_connected{agent}));
            break;
        }
        default:
            recordOutputs(driver.advance(duration(*rc::gen::inRange(0, 3'000))));
        }
        for (const auto &[request, ends] : ended) {
            RC_ASSERT(ends == 1);
        }
    }
    // The remaining requests end at their deadlines at the latest.
    for (int i = 0; i < 5; ++i) {
        recordOutputs(driver.advance(duration(11'000)));
    }
    RC_ASSERT(driver.pipe().inFlight() == 0U);
    for (const auto &[request, nonIdempotent] : isNonIdempotent) {
        RC_ASSERT(ended[request] == 1);
    }
}
