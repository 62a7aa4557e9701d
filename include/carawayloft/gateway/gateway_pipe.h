#pragma once

#include <carawayloft/fleet/backend_view.h>
#include <carawayloft/gateway/fleet_limiter.h>
#include <carawayloft/gateway/gateway_messages.h>
#include <carawayloft/gateway/group_monitor.h>
#include <carawayloft/gateway/stream_splice.h>
#include <carawayloft/gateway/traffic_meter.h>
#include <carawayloft/order/published_fleet.h>
#include <carawayloft/service/route_table.h>

#include <random>

namespace carawayloft {

struct gateway_pipe_options {
    availability_zone_id zone;
    fleet_limits limits;
    std::uint64_t seed = 1;
};

/**
 * The pipe from a caller to a backend server and back, without an agent between: identify, route,
 * choose, send, splice. Has no socket or clock.
 */
class gateway_pipe
{
public:
    using input = gateway_pipe_input;
    using output = gateway_pipe_output;

    explicit gateway_pipe(const gateway_pipe_options &options);

    std::vector<output> step(const input &in, time_point now);

    /** Whether new callers are welcome. */
    bool isReady(time_point now) const;

    std::size_t inFlight() const
    {
        return m_flows.size();
    }
    const fleet_state &fleet() const
    {
        return m_fleet.state();
    }
    const backend_view &view() const
    {
        return m_view;
    }

private:
    /** One request of a caller. */
    struct flow {
        gateway_request request;
        std::shared_ptr<const service_configuration> configuration; /**< That it was routed by. */
        const service_route *route = nullptr;
        const service_settings *service = nullptr;
        client_account_id account;
        time_point arrivedAt;
        time_point deadline; /**< Of the caller and of the route, whichever comes first. */
        bool returns = false; /**< Its caller was refused before, so that it can hardly be on time. */
        time_point waitsUntil; /**< Without a backend server. */
        backend_call_id call; /**< Under way, or zero. */
        backend_id backend;
        group_epoch group; /**< Zero for a plain server. */
        time_point sentAt;
        time_point heardAt; /**< Of the last bytes of the call under way, or when it was sent. */
        std::uint32_t sends = 0;
        std::uint32_t possibleRuns = 0; /**< Servers that may have run it. */
        std::set<backend_id> tried;
        std::uint32_t status = 0; /**< Of the answer under way. */
        bool headCame = false; /**< Of the present call. */
        bool streams = false; /**< The answer is relayed event by event. */
        bool relayed = false; /**< The caller has the head. */
        bool eventRelayed = false; /**< The caller has an event. */
        time_point relayedAt; /**< Of the last event. */
        duration firstByte{0};
        duration longestPause{0}; /**< Between events that were relayed. */
        stream_splice splice;
        std::string body;
        std::string lastFailure;
    };
    /** What this gateway saw of a plain server. */
    struct server_stats {
        std::uint32_t running = 0;
        double failures = 0.0; /**< Share of late calls that failed. */
        time_point avoidedUntil;
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
    };

    // Callers.
    void take(const gateway_request &in);
    void take(const caller_disconnected &in);
    bool isStarting() const;
    void admitEarly();
    void admit(flow &each);
    std::optional<error> identify(flow &each, std::uint32_t &status);
    const service_settings *chooseService(const service_route &route, const service_configuration &configuration);
    void countAsked(const flow &each);
    void refuse(flow &each, std::uint32_t status, error why, run_outcome outcome, duration retryAfter);
    void finish(request_id request, bool whole);

    // Sending.
    void dispatch(flow &each);
    std::optional<candidate> choose(const flow &each);
    std::optional<candidate> chooseGroup(const flow &each);
    std::optional<candidate> chooseServer(const flow &each);
    std::optional<candidate> firstThatBears(const flow &each, std::vector<candidate> candidates);
    bool mayBeUsed(const backend_view::backend &backend) const;
    void sendTo(flow &each, const candidate &target);
    void dispatchWaiting();
    void endCall(flow &each);
    void callFailed(flow &each, bool mayHaveRun, std::string reason);
    void waitForServer(flow &each);
    void giveUp(flow &each);
    void lookAtTimes(flow &each);

    // Backend servers.
    void take(const backend_answer_started &in);
    void take(const backend_bytes_received &in);
    void take(const backend_answer_finished &in);
    void take(const backend_call_failed &in);
    flow *flowOf(backend_call_id call);
    void rejected(flow &each, const backend_answer_started &in);
    void noteOutcome(const flow &each, bool failure);

    // Groups.
    group_monitor *watchOf(group_epoch group);
    void watchGroups();
    void suspect(const engine_group &group);
    void suspend(group_epoch group, const std::string &reason);
    void take(const probe_finished &in);

    // Control.
    void take(const control_message &in);
    void take(const configuration_in_force &in);
    void take(const request_tick &in);
    void take(const request_stop &in);
    void granted(const gateway_grant &grant);
    void applyView(const publish_fleet &publication);
    void report();
    bool holdsRight() const;
    void lookAtRight();

    template<class Output>
    void emit(Output output)
    {
        m_out.emplace_back(std::move(output));
    }

    gateway_pipe_options m_options;
    std::mt19937_64 m_random;
    time_point m_now;
    time_point m_startedAt; /**< Of the first input. */
    time_point m_lastTick;
    std::vector<output> m_out;

    published_fleet m_fleet;
    backend_view m_view;
    route_table m_routes;
    fleet_limiter m_limits;
    traffic_meter m_meter;

    std::map<request_id, flow> m_flows;
    std::map<backend_call_id, request_id> m_calls;
    std::set<request_id> m_early; /**< Came before this process had found control. */
    std::set<request_id> m_waiting;
    std::map<group_epoch, group_monitor> m_groups;
    std::map<backend_id, server_stats> m_servers;
    std::map<probe_id, group_probe> m_probes;
    std::map<backend_id, time_point> m_unreachable; /**< Until when control is told. */
    backend_call_id m_lastCall;
    probe_id m_lastProbe;

    std::uint32_t m_otherGateways = 0;
    std::uint64_t m_round = 0;
    std::map<std::uint64_t, time_point> m_reportedAt; /**< By round. */
    time_point m_reportDue;
    time_point m_rightUntil; /**< Until when keyed requests may be served. */
    bool m_heldRight = false;
    bool m_stopping = false;
    bool m_drainedReported = false;
};

static_assert(filter<gateway_pipe>);

} // namespace carawayloft
