#include <carawayloft/backend/backend_pipe.h>

#include <carawayloft/backend/lease_terms.h>
#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Time between load reports to entries that send work, and to those that do not. */
static constexpr duration reportPeriod{250};
static constexpr duration idleReportPeriod{1'500};

/** An entry counts as sending work for this long after a request. */
static constexpr duration activeTime{1'000};

/** Attempts remembered so that a doubled frame starts nothing. */
static constexpr std::size_t maxSeen = 8'192;

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
    // What time has ended is ended before anything else happens, also after a long freeze.
    checkWhole();
    updateGate();
    std::visit([this](const auto &each) { handle(each); }, in);
    updateGate();
    const bool reliedOn = m_memberLease.isLeased(m_now);
    if (m_stopping && m_active.empty() && m_queued.empty() && !reliedOn && !m_drainedReported) {
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
        cancel(key);
    }
}

void backend_pipe::handle(const link_message &in)
{
    std::visit(overloaded{
                   [&](const dispatch_request &message) { arrived(in.link, message); },
                   [&](const cancel_request &message) {
                       cancel({in.link, message.request, message.attempt});
                   },
                   [&](const grant_credit &message) {
                       relay({in.link, message.request, message.attempt}, credit_granted{message.chunks});
                   },
                   [&](const member_lease_request &message) { runMemberLease(message, in.link); },
                   [](const auto &) {},
               },
               in.message);
}

void backend_pipe::arrived(link_id link, const dispatch_request &request)
{
    const attempt_key key{link, request.request, request.attempt};
    if (!m_recentAttempts.insert(key).second) {
        return;
    }
    m_seenOrder.push_back(key);
    if (m_seenOrder.size() > maxSeen) {
        m_recentAttempts.erase(m_seenOrder.front());
        m_seenOrder.pop_front();
    }
    if (!m_leads || request.group != m_group.group || request.epoch != m_group.epoch) {
        refuse(key, refusal_reason::NotLeading, {});
        return;
    }
    if (const auto peer = m_links.find(link); peer != m_links.end()) {
        peer->second.activeAt = m_now;
    }
    m_queued.emplace(key, queued_work{request, m_now});
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
                       [&](const work_admitted &out) { start(out.key); },
                       [&](const work_rejected &out) {
                           m_queued.erase(out.key);
                           refuse(out.key, out.reason, out.retryAfter);
                       },
                       [&](const limit_changed &out) { emit(out); },
                   },
                   each);
    }
}

void backend_pipe::start(const attempt_key &key)
{
    const auto queued = m_queued.find(key);
    const duration waited = std::chrono::duration_cast<duration>(m_now - queued->second.since);
    m_active.emplace(key, answer_relay(queued->second.request, waited));
    emit(start_backend_call{key, std::move(queued->second.request)});
    m_queued.erase(queued);
}

void backend_pipe::cancel(const attempt_key &key)
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

void backend_pipe::breakAll()
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
        relayed(key, each);
    }
}

void backend_pipe::relayed(const attempt_key &key, const relay_output &out)
{
    std::visit(overloaded{
                   [&](const relay_frame &relayFrame) {
                       std::visit([&](const auto &frame) { emit(send_to_link{key.link, frame}); }, relayFrame.frame);
                   },
                   [&](const pause_backend &pace) {
                       emit(pause_backend_call{key, pace.paused});
                   },
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
        runLeases(lease_tick{});
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

/** Requests running or waiting that came over @p link. */
std::uint32_t backend_pipe::workFrom(link_id link) const
{
    const auto isOwn = [link](const auto &each) { return each.first.link == link; };
    return static_cast<std::uint32_t>(std::count_if(m_active.begin(), m_active.end(), isOwn) + std::count_if(m_queued.begin(), m_queued.end(), isOwn));
}

void backend_pipe::reportLoad()
{
    m_reportDue = m_now + reportPeriod;
    if (!m_leads) {
        return;
    }
    const bool accepting = !closedBecause();
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
        const bool isActive = m_now < peer.activeAt + activeTime;
        const bool isDue = isActive || accepting != peer.toldAccepting || m_now >= peer.reportedAt + idleReportPeriod;
        if (peer.role == process_role::Entry && isDue) {
            peer.reportedAt = m_now;
            peer.toldAccepting = accepting;
            report.own = workFrom(link);
            emit(send_to_link{link, report});
        }
    }
    m_cachedPrefix = 0;
}

} // namespace carawayloft
