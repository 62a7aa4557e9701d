#pragma once

#include <carawayloft/control/published_fleet.h>
#include <carawayloft/core/answer_limits.h>
#include <carawayloft/fleet/backend_view.h>
#include <carawayloft/gateway/admission_control.h>
#include <carawayloft/gateway/backend_byte_limiter.h>
#include <carawayloft/gateway/backend_notices.h>
#include <carawayloft/gateway/class_meter.h>
#include <carawayloft/gateway/crash_witness.h>
#include <carawayloft/gateway/failure_streak.h>
#include <carawayloft/gateway/fleet_limiter.h>
#include <carawayloft/gateway/gateway_messages.h>
#include <carawayloft/gateway/group_monitor.h>
#include <carawayloft/gateway/group_peak_rates.h>
#include <carawayloft/gateway/limit_observations.h>
#include <carawayloft/gateway/relay_window.h>
#include <carawayloft/gateway/request_rank.h>
#include <carawayloft/gateway/stream_splice.h>
#include <carawayloft/gateway/traffic_meter.h>
#include <carawayloft/service/route_table.h>

#include <random>

namespace carawayloft {

struct gateway_pipe_options {
    availability_zone_id zone;
    fleet_limits limits;
    std::uint64_t seed = 1;
    std::size_t maxKeptAnswers = maxKeptAnswerBytes; /**< Bytes of all answers that are kept until they are whole. */
    backend_byte_limits backendBytes{}; /**< Of requests at one backend server, over all gateways. */
};

/**
 * Forwards requests of callers to backend servers and their answers back, without an agent in between:
 * authenticates, routes, selects a backend server, retries, and joins streams. Uses no socket or clock.
 */
class gateway_pipe
{
public:
    using input = gateway_pipe_input;
    using output = gateway_pipe_output;

    explicit gateway_pipe(const gateway_pipe_options &options);

    std::vector<output> step(const input &in, time_point now);

    /** Whether the gateway should receive new requests. */
    bool isReady(time_point now) const;

    std::size_t inFlight() const
    {
        return m_activeRequests.size();
    }
    const fleet_state &fleet() const
    {
        return m_fleet.state();
    }
    const backend_view &view() const
    {
        return m_view;
    }
    const backend_byte_limiter &byteLimiter() const
    {
        return m_byteLimiter;
    }

private:
    /** Time for which a server or group is avoided after a connection failure or a rejection without running the request. */
    static constexpr duration avoidanceTime{400};

    /** Maximum calls for one request, including those that servers rejected without running it. */
    static constexpr std::uint32_t maxSends = 4;

    /** Most of the route's time limit that a returning request has left. First attempts differ in their time limits, too, but not by so much. */
    static constexpr double maxReturningTimeShare = 0.8;

    /** A request of a caller that has not been answered yet. */
    struct request_context {
        gateway_request request;
        std::shared_ptr<const service_configuration> configuration; /**< Used to route this request. */
        const service_route *route = nullptr;
        const service_settings *service = nullptr;
        client_account_id account;
        request_rank rank;
        time_point arrivedAt;
        time_point deadline; /**< Earlier of the time limits of caller and route. */
        bool isLate = false; /**< Rejected before or delayed at startup, so it can hardly meet its objective. */
        bool isAboveFairShare = false; /**< Of an account of which admission control rejects a part. */
        time_point waitDeadline; /**< Until when it may wait for a backend server. */
        backend_call_id call; /**< Call in flight, or zero. */
        backend_id backend;
        std::int64_t backendStartedAt = 0; /**< The start of the server that the call in flight was sent to. */
        group_epoch group; /**< Zero for a server outside any group. */
        time_point sentAt;
        time_point progressAt; /**< Last progress of the call in flight, or its start: whole events of a stream, else bytes. */
        std::optional<time_point> answerBegunAt; /**< First event or bytes of the call in flight. */
        bool isCounted = false; /**< Among the answers from which the capacity of groups is learned. */
        bool isCountedLate = false;
        bool survivalRecorded = false; /**< The server has survived the beginning of the answer in flight. */
        std::uint32_t sendCount = 0;
        std::uint32_t possibleRuns = 0; /**< Backend servers that may have run the request. */
        std::set<backend_id> triedBackends;
        std::uint32_t status = 0; /**< Of the current answer. */
        bool headReceived = false; /**< Of the call in flight. */
        bool isStreaming = false; /**< The answer is relayed event by event. */
        bool headRelayed = false; /**< The caller has been sent the head of a stream. */
        bool eventRelayed = false; /**< The caller has been sent an event. */
        time_point lastRelayedAt; /**< Last event sent to the caller, or the head. */
        duration forecast{0}; /**< Expected time to the first event when the request was last sent to a group. */
        duration firstByte{0};
        duration longestPause{0}; /**< Between relayed events. */
        stream_splice splice;
        relay_window window;
        std::string body;
        std::string lastFailure;
    };
    /** Load and outcomes that this gateway observed at a server outside any group. */
    struct server_stats {
        std::uint32_t running = 0;
        double failureRate = 0.0; /**< Moving average over recent calls. */
        time_point avoidedUntil;
        failure_streak streak;
        time_point answeredAt; /**< Start of its latest answer. */
    };
    struct group_probe {
        group_epoch group;
        backend_id backend;
    };
    struct candidate {
        const backend_view::backend *backend = nullptr;
        group_epoch group;
        double cost = 0.0;
        std::uint32_t running = 0;
        duration forecast{0}; /**< Expected time to the first event. */
    };

    // Requests of callers.
    void handle(const gateway_request &in);
    void handle(const caller_disconnected &in);
    bool isAwaitingControl() const;
    void admitDeferred();
    void admit(request_context &context);
    static bool isReturning(const gateway_request &request, const service_route &route);
    std::optional<error> resolve(request_context &context, std::uint32_t &status);
    const service_settings *chooseService(const service_route &route, const service_configuration &configuration);
    void recordTraffic(const request_context &context);
    const model_profile *modelOf(const request_context &context) const;
    dispatch_precedence precedenceOf(const request_context &context) const;

    // Admission.
    bool isRefused(request_context &context);
    std::optional<double> capacityOf(const request_context &context, const model_profile &model);
    admission_request admissionRequestOf(const request_context &context) const;
    void rejectForOverload(request_context &context, error why);
    void rejectByAdmission(request_context &context, error why, const admission_decision &decision);
    void reject(request_context &context, std::uint32_t status, error why, run_outcome outcome, duration retryAfter);
    void finish(request_id request, bool whole);

    // Calls to backend servers.
    void dispatch(request_context &context);
    std::optional<candidate> chooseBackend(const request_context &context);
    std::optional<candidate> chooseGroup(const request_context &context);
    std::optional<candidate> chooseServer(const request_context &context);
    void dropFailing(std::vector<candidate> &candidates) const;
    std::optional<candidate> chooseCheapest(const request_context &context, std::vector<candidate> candidates);
    send_limits sendLimitsOf(const request_context &context, const candidate &target);
    bool acceptsRequests(const backend_view::backend &backend) const;
    void sendTo(request_context &context, const candidate &target);
    void dispatchWaiting();
    void endCall(request_context &context);
    void handleCallFailure(request_context &context, bool mayHaveRun, std::string reason);
    bool hasWaitingBefore(const request_context &context) const;
    void waitForBackend(request_context &context);
    void giveUp(request_context &context);
    void checkTimeouts(request_context &context);
    bool canMove(request_context &context);

    // Answers of backend servers.
    void handle(const backend_answer_started &in);
    void handle(const backend_bytes_received &in);
    void handle(const backend_answer_finished &in);
    void handle(const backend_call_failed &in);
    void handle(const answer_bytes_taken &in);
    void relay(request_context &context, std::string events);
    void countAnswer(request_context &context, bool isLate);
    void countOverdue(request_context &context);
    std::size_t keptAnswerBytes() const;
    request_context *findByCall(backend_call_id call);
    void recordProgress(request_context &context);
    void handleNotExecuted(request_context &context, const backend_answer_started &in);
    static bool mayRunAgain(const request_context &context);
    void recordOutcome(const request_context &context, bool failure);
    void recordForm(const request_context &context, bool isBroken);
    double namedLimitOf(const backend_record &record) const;
    std::optional<double> namedShareOf(const backend_record &record) const;
    void recordNamedLimit(const backend_id &backend, std::optional<double> limit);
    void recordNotices(const request_context &context, const backend_answer_started &in);
    std::vector<leaving_backend> unpublishedLeaving() const;
    std::vector<backend_id> answeringServers() const;

    // Requests that crash servers.
    bool isQuarantined(const request_context &context) const;
    void rejectQuarantined(request_context &context);
    void dropQuarantined();
    bool mayHaveCrashedItsServer(const request_context &context) const;
    void recordLostCall(const request_context &context);
    void recordLostCalls(const backend_id &backend, const std::vector<request_id> &requests);
    void recordAnswerProgress(request_context &context, bool finished);

    // Groups.
    group_monitor *monitorFor(group_epoch group);
    void checkGroups();
    void probeMembers(const engine_group &group);
    void suspendGroup(group_epoch group, const std::string &reason, bool isLost);
    void handle(const probe_finished &in);

    // Control.
    void handle(const control_message &in);
    void handle(const configuration_in_force &in);
    void handle(const request_tick &in);
    void handle(const request_stop &in);
    void applyGrant(const gateway_grant &grant);
    void forgetBackend(const backend_id &backend);
    void applyFleetChange(const published_fleet::input &change);
    void applyPublication(const publish_fleet &publication);
    void sendReport();
    bool holdsLease() const;
    void emitLeaseChange();

    template<class Output>
    void emit(Output output)
    {
        m_out.emplace_back(std::move(output));
    }

    gateway_pipe_options m_options;
    std::mt19937_64 m_random;
    time_point m_now;
    time_point m_startedAt; /**< Time of the first input. */
    time_point m_lastTick;
    std::vector<output> m_out;

    published_fleet m_fleet;
    backend_view m_view;
    route_table m_routes;
    fleet_limiter m_limiter;
    backend_byte_limiter m_byteLimiter;
    traffic_meter m_trafficMeter;
    class_meter m_classMeter;
    group_peak_rates m_peakRates;
    admission_control m_admission;
    retry_schedule m_retrySchedule; /**< For services without models, whose capacity is not known. */
    urgency_scale m_urgencies;
    crash_witness m_crashWitness;
    limit_observations m_limitObservations;
    backend_notices m_notices;
    std::map<backend_id, double> m_requestShares; /**< Shares of published limits, in requests per second. */
    time_point m_requestSharesUntil;

    std::map<request_id, request_context> m_activeRequests;
    std::map<backend_call_id, request_id> m_calls;
    std::set<request_id> m_deferred; /**< Arrived before the first configuration and lease from control. */
    std::set<request_id> m_waiting;
    std::map<group_epoch, group_monitor> m_groupMonitors;
    std::map<backend_id, server_stats> m_serverStats;
    std::map<probe_id, group_probe> m_probes;
    std::map<backend_id, time_point> m_unreachableUntil; /**< Backend servers to report as unreachable, and until when. */
    backend_call_id m_lastCall;
    probe_id m_lastProbe;

    std::uint32_t m_otherGateways = 0;
    std::uint64_t m_lastRound = 0;
    std::map<std::uint64_t, time_point> m_reportedAt; /**< Send time of each report, by round. */
    time_point m_nextReportAt;
    time_point m_leaseUntil; /**< Until when requests with access keys may be served. */
    bool m_emittedLease = false; /**< State in the last serving_lease_changed. */
    bool m_stopping = false;
    bool m_drainedReported = false;
};

static_assert(filter<gateway_pipe>);

} // namespace carawayloft
