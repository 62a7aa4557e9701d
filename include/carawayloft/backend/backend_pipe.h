#pragma once

#include <carawayloft/backend/backend_messages.h>
#include <carawayloft/order/published_fleet.h>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace carawayloft {

struct backend_pipe_options {
    host_id host;
    availability_zone_id zone;
    fabric_domain_id fabricDomain;
    endpoint agent; /**< Where entries and leads reach this agent. */
    incarnation run;
};

/**
 * The pipe from entries to one backend server and back: fence, admit, dispatch, relay. Owns all that the
 * backend server is allowed to do; has no socket and no clock.
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
    struct queued_work {
        dispatch_request request;
        time_point since;
    };
    struct entry_link {
        process_role role = process_role::Entry;
        time_point activeAt; /**< Of the last request that came over it. */
        time_point reportedAt;
        bool toldAccepting = false;
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

    // Fence.
    void publish(const published_fleet::input &in);
    void refreshAssignment();
    void granted(const lease_grant &grant);
    void updateGate();
    std::optional<refusal_reason> closedBecause() const;
    bool isReady() const;
    void checkWhole();
    void runLeases(const group_leases_input &in);
    void runMemberLease(const member_lease_input &in, link_id replyTo);

    // Admit and dispatch.
    void arrived(link_id link, const dispatch_request &request);
    void refuse(const attempt_key &key, refusal_reason reason, duration retryAfter);
    void runAdmission(const admission_input &in);
    void start(const attempt_key &key);
    void cancel(const attempt_key &key);
    void breakAll();

    // Relay.
    void relay(const attempt_key &key, const relay_input &event);
    void relayed(const attempt_key &key, const relay_output &out);

    // Reports.
    void renewControlLease();
    void announce();
    void reportLoad();
    std::uint32_t workFrom(link_id link) const;

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
    incarnation m_backendRun;
    group_epoch m_ordered; /**< Epoch of the last order given. */
    group_epoch m_obeyed; /**< Epoch of the last order carried out. */
    time_point m_orderAgainAt;

    group_record m_group; /**< Group of this host; its id is zero without one. */
    bool m_leads = false;
    member_lease m_memberLease;
    group_leases m_groupLeases;
    time_point m_controlLeaseUntil;
    group_epoch m_controlEpoch;
    bool m_controlHeld = false;
    std::uint64_t m_controlRound = 0;
    std::map<std::uint64_t, time_point> m_controlAsked;

    admission m_admission;
    std::map<link_id, entry_link> m_links;
    std::map<attempt_key, queued_work> m_queued;
    std::map<attempt_key, answer_relay> m_active;
    std::set<attempt_key> m_recentAttempts; /**< Attempts taken lately, so that a doubled frame starts nothing. */
    std::deque<attempt_key> m_seenOrder;
    std::uint64_t m_cachedPrefix = 0;

    time_point m_memberLeaseDue;
    time_point m_controlLeaseDue;
    time_point m_reportDue;
    bool m_stopping = false;
    bool m_drainedReported = false;
};

static_assert(filter<backend_pipe>);

} // namespace carawayloft
