#pragma once

#include <carawayloft/backend/backend_messages.h>
#include <carawayloft/control/published_fleet.h>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace carawayloft {

struct backend_pipe_options {
    host_id host;
    availability_zone_id zone;
    fabric_domain_id fabricDomain;
    endpoint agent; /**< Address of this agent for entries and group leads. */
    incarnation agentIncarnation;
};

/**
 * Carries requests from entries to one backend server and the answers back, in the steps fencing,
 * admission, dispatch and relay. It holds every decision on what the backend server may do. It uses no
 * socket and no clock: messages and the time are passed to step().
 */
class backend_pipe
{
public:
    using input = backend_pipe_input;
    using output = backend_pipe_output;

    backend_pipe(backend_pipe_options options, time_point startedAt);

    std::vector<output> step(const input &in, time_point now);

    const admission &admissionFilter() const
    {
        return m_admission;
    }
    const fleet_state &fleet() const
    {
        return m_fleet.state();
    }

private:
    struct queued_request {
        dispatch_request request;
        time_point queuedAt;
    };
    struct entry_link {
        process_role role = process_role::Entry;
        time_point lastRequestAt;
        time_point reportedAt;
        bool reportedAccepting = false;
    };

    void handle(const link_connected &in);
    void handle(const link_lost &in);
    void handle(const link_message &in);
    void handle(const member_message &in);
    void handle(const control_message &in);
    void handle(const backend_announcement &in);
    void handle(const backend_report &in);
    void handle(const serve_order_result &in);
    void handle(const backend_call_event &in);
    void handle(const agent_tick &in);
    void handle(const agent_stop &in);

    // Fencing.
    void applyPublication(const published_fleet::input &in);
    void refreshAssignment();
    void extendControlLease(const lease_grant &grant);
    void updateGate();
    std::optional<refusal_reason> refusalReason() const;
    bool isReady() const;
    void abortIfIncomplete();
    void runGroupLeases(const group_leases_input &in);
    void runMemberLease(const member_lease_input &in, link_id replyTo);

    // Admission and dispatch.
    void queueDispatch(link_id link, const dispatch_request &request);
    void refuse(const attempt_key &key, refusal_reason reason, duration retryAfter);
    void runAdmission(const admission_input &in);
    void startBackendCall(const attempt_key &key);
    void cancelAttempt(const attempt_key &key);
    void abortActiveCalls();

    // Relay.
    void relay(const attempt_key &key, const relay_input &event);
    void forwardRelayOutput(const attempt_key &key, const relay_output &out);

    // Reports.
    void renewControlLease();
    void announce();
    void reportLoad();
    std::uint32_t requestsFrom(link_id link) const;

    template<class Output>
    void emit(Output output)
    {
        m_out.emplace_back(std::move(output));
    }

    backend_pipe_options m_options;
    time_point m_now;
    std::vector<output> m_out;

    published_fleet m_fleet;
    std::optional<backend_announcement> m_backend;
    bool m_reachable = false;
    incarnation m_serverIncarnation;
    group_epoch m_orderSentEpoch; /**< Epoch of the last order sent. */
    group_epoch m_orderDoneEpoch; /**< Epoch of the last order that the backend server accepted. */
    time_point m_orderRetryAt;

    group_record m_group; /**< Group of this host; its id is zero if the host is in no group. */
    bool m_leads = false;
    member_lease m_memberLease;
    group_leases m_groupLeases;
    time_point m_controlLeaseUntil;
    group_epoch m_controlLeaseEpoch;
    bool m_holdsControlLease = false;
    std::uint64_t m_renewalRound = 0;
    std::map<std::uint64_t, time_point> m_pendingRenewals; /**< Send times of unanswered renewals, by round. */

    admission m_admission;
    std::map<link_id, entry_link> m_links;
    std::map<attempt_key, queued_request> m_queued;
    std::map<attempt_key, answer_relay> m_active;
    std::set<attempt_key> m_recentAttempts; /**< Detects duplicate dispatch frames. */
    std::deque<attempt_key> m_recentAttemptOrder;
    std::uint64_t m_cachedPrefix = 0;

    time_point m_memberLeaseDue;
    time_point m_controlLeaseDue;
    time_point m_reportDue;
    bool m_stopping = false;
    bool m_drainedReported = false;
};

static_assert(filter<backend_pipe>);

} // namespace carawayloft
