#include <carawayloft/backend/backend_pipe.h>

#include <carawayloft/backend/lease_terms.h>
#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Period of load reports to entries that have recently sent requests, and to the other entries. */
static constexpr duration loadReportPeriod{250};
static constexpr duration idleLoadReportPeriod{1'500};

/** Time after a request for which its entry receives load reports at the shorter period. */
static constexpr duration entryActiveTime{1'000};

/** Attempts remembered to detect duplicate dispatch frames. */
static constexpr std::size_t maxRecentAttempts = 8'192;

backend_pipe::backend_pipe(backend_pipe_options options, time_point startedAt)
    : m_options(std::move(options))
    , m_now(startedAt)
    , m_memberLease(m_options.host, startedAt)
    , m_groupLeases(m_options.host)
    , m_controlLeaseUntil(startedAt)
    , m_memberLeaseDue(startedAt)
    , m_controlLeaseDue(startedAt)
    , m_reportDue(startedAt)
{
}

std::vector<backend_pipe::output> backend_pipe::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    // Expired leases are processed before the input. Otherwise a process that resumes after a long pause
    // could write the answer of a group whose leases have expired in the meantime.
    abortIfIncomplete();
    updateGate();
    std::visit([this](const auto &each) { handle(each); }, in);
    updateGate();
    const bool leaseGranted = m_memberLease.isLeased(m_now);
    if (m_stopping && m_active.empty() && m_queued.empty() && !leaseGranted && !m_drainedReported) {
        m_drainedReported = true;
        emit(agent_drained{});
    }
    return std::move(m_out);
}

void backend_pipe::handle(const link_connected &in)
{
    m_links.insert_or_assign(in.link, entry_link{in.role, {}, {}, false});
    m_reportDue = m_now;
}

void backend_pipe::handle(const link_lost &in)
{
    m_links.erase(in.link);
    std::vector<attempt_key> affected;
    for (const auto &[key, relay] : m_active) {
        if (key.link == in.link) {
            affected.push_back(key);
        }
    }
    for (const auto &[key, work] : m_queued) {
        if (key.link == in.link) {
            affected.push_back(key);
        }
    }
    for (const attempt_key &key : affected) {
        cancelAttempt(key);
    }
}

void backend_pipe::handle(const link_message &in)
{
    std::visit(overloaded{
                   [&](const dispatch_request &message) { queueDispatch(in.link, message); },
                   [&](const cancel_request &message) {
                       cancelAttempt({in.link, message.request, message.attempt});
                   },
                   [&](const grant_credit &message) {
                       relay({in.link, message.request, message.attempt}, credit_granted{message.chunks});
                   },
                   [&](const member_lease_request &message) { runMemberLease(message, in.link); },
                   [](const auto &) {},
               },
               in.message);
}

void backend_pipe::queueDispatch(link_id link, const dispatch_request &request)
{
    const attempt_key key{link, request.request, request.attempt};
    if (!m_recentAttempts.insert(key).second) {
        return;
    }
    m_recentAttemptOrder.push_back(key);
    if (m_recentAttemptOrder.size() > maxRecentAttempts) {
        m_recentAttempts.erase(m_recentAttemptOrder.front());
        m_recentAttemptOrder.pop_front();
    }
    if (!m_leads || request.group != m_group.group || request.epoch != m_group.epoch) {
        refuse(key, refusal_reason::NotLeading, {});
        return;
    }
    if (const auto peer = m_links.find(link); peer != m_links.end()) {
        peer->second.lastRequestAt = m_now;
    }
    m_queued.emplace(key, queued_request{request, m_now});
    runAdmission(work_arrived{key, request.account, request.weight, request.priority, m_now + request.timeLeft});
}

void backend_pipe::refuse(const attempt_key &key, refusal_reason reason, duration retryAfter)
{
    emit(send_to_link{key.link, request_refused{key.request, key.attempt, reason, retryAfter}});
    emit(work_rejected{key, reason, retryAfter});
}

void backend_pipe::runAdmission(const admission_input &in)
{
    for (const admission_output &each : m_admission.step(in, m_now)) {
        std::visit(overloaded{
                       [&](const work_admitted &out) { startBackendCall(out.key); },
                       [&](const work_rejected &out) {
                           m_queued.erase(out.key);
                           refuse(out.key, out.reason, out.retryAfter);
                       },
                       [&](const limit_changed &out) { emit(out); },
                   },
                   each);
    }
}

void backend_pipe::startBackendCall(const attempt_key &key)
{
    const auto queued = m_queued.find(key);
    const duration waited = std::chrono::duration_cast<duration>(m_now - queued->second.queuedAt);
    m_active.emplace(key, answer_relay(queued->second.request, waited));
    emit(start_backend_call{key, std::move(queued->second.request)});
    m_queued.erase(queued);
}

void backend_pipe::cancelAttempt(const attempt_key &key)
{
    const bool wasQueued = m_queued.erase(key) > 0;
    const bool wasActive = m_active.erase(key) > 0;
    if (wasActive) {
        emit(cancel_backend_call{key});
    }
    if (wasQueued || wasActive) {
        runAdmission(work_ended{key, work_result::Cancelled});
    }
}

void backend_pipe::abortActiveCalls()
{
    const std::map<attempt_key, answer_relay> broken = std::exchange(m_active, {});
    for (const auto &[key, relay] : broken) {
        emit(send_to_link{key.link, answer_end{key.request, key.attempt, {}, answer_ending::Broken}});
        emit(cancel_backend_call{key});
        runAdmission(work_ended{key, work_result::Cancelled});
    }
}

void backend_pipe::handle(const backend_call_event &in)
{
    relay(in.key, in.event);
}

void backend_pipe::relay(const attempt_key &key, const relay_input &event)
{
    const auto found = m_active.find(key);
    if (found == m_active.end()) {
        return;
    }
    for (const relay_output &each : found->second.step(event, m_now)) {
        forwardRelayOutput(key, each);
    }
}

void backend_pipe::forwardRelayOutput(const attempt_key &key, const relay_output &out)
{
    std::visit(overloaded{
                   [&](const relay_frame &relayFrame) {
                       std::visit([&](const auto &frame) { emit(send_to_link{key.link, frame}); }, relayFrame.frame);
                   },
                   [&](const pause_backend &pause) {
                       emit(pause_backend_call{key, pause.paused});
                   },
                   [&](const abandon_backend &) { emit(cancel_backend_call{key}); },
                   [&](const relay_done &done) {
                       m_active.erase(key);
                       if (done.neverStarted) {
                           refuse(key, refusal_reason::BackendDown, {});
                       }
                       runAdmission(work_ended{key, done.complete ? work_result::Done : work_result::Failed});
                   },
               },
               out);
}

void backend_pipe::handle(const agent_stop &)
{
    m_stopping = true;
    renewControlLease();
}

void backend_pipe::handle(const agent_tick &)
{
    runAdmission(admission_tick{});
    if (m_now >= m_memberLeaseDue) {
        m_memberLeaseDue = m_now + memberLeaseRenewalPeriod;
        runGroupLeases(lease_tick{});
    }
    if (m_now >= m_controlLeaseDue) {
        renewControlLease();
        announce();
    }
    if (m_now >= m_reportDue) {
        reportLoad();
    }
    refreshAssignment();
}

/** Running and waiting requests that arrived on @p link. */
std::uint32_t backend_pipe::requestsFrom(link_id link) const
{
    const auto isOwn = [link](const auto &each) { return each.first.link == link; };
    return static_cast<std::uint32_t>(std::count_if(m_active.begin(), m_active.end(), isOwn) + std::count_if(m_queued.begin(), m_queued.end(), isOwn));
}

void backend_pipe::reportLoad()
{
    m_reportDue = m_now + loadReportPeriod;
    if (!m_leads) {
        return;
    }
    const bool accepting = !refusalReason();
    load_report report{m_group.group,
                       m_group.epoch,
                       accepting,
                       m_admission.isAtColdLimit(),
                       m_admission.running(),
                       m_admission.waiting(),
                       m_admission.limit(),
                       0,
                       m_cachedPrefix};
    for (auto &[link, peer] : m_links) {
        const bool isActive = m_now < peer.lastRequestAt + entryActiveTime;
        const bool isDue = isActive || accepting != peer.reportedAccepting || m_now >= peer.reportedAt + idleLoadReportPeriod;
        if (peer.role == process_role::Entry && isDue) {
            peer.reportedAt = m_now;
            peer.reportedAccepting = accepting;
            report.own = requestsFrom(link);
            emit(send_to_link{link, report});
        }
    }
    m_cachedPrefix = 0;
}

} // namespace carawayloft
