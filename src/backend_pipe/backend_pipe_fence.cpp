#include <carawayloft/backend/backend_pipe.h>

#include <carawayloft/backend/lease_terms.h>
#include <carawayloft/core/overloaded.h>

namespace carawayloft {

/** Time after which an order that the backend server has not accepted is sent again. */
static constexpr duration orderRetryDelay{1'000};

void backend_pipe::handle(const control_message &in)
{
    std::visit(overloaded{
                   [&](const publish_snapshot &message) { applyPublication(message); },
                   [&](const publish_change &message) { applyPublication(message); },
                   [&](const lease_grant &message) { extendControlLease(message); },
                   [](const auto &) {},
               },
               in.message);
}

void backend_pipe::applyPublication(const published_fleet::input &in)
{
    const revision before = m_fleet.state().at();
    for (const published_fleet::output &each : m_fleet.step(in, m_now)) {
        std::visit([this](const auto &out) { emit(out); }, each);
    }
    if (m_fleet.state().at() != before) {
        refreshAssignment();
    }
}

bool backend_pipe::isReady() const
{
    const bool ordered = m_backend && (m_backend->kind == service_kind::Plain || m_orderDoneEpoch == m_group.epoch);
    return m_reachable && ordered && m_group.group.value() != 0;
}

void backend_pipe::refreshAssignment()
{
    const group_record *assigned = m_fleet.state().groupOf(m_options.host);
    const group_record current = assigned == nullptr ? group_record() : *assigned;
    const bool changed = current.group != m_group.group || current.epoch != m_group.epoch;
    m_group = current;
    if (changed) {
        abortActiveCalls();
        m_leads = current.group.value() != 0 && current.hosts.front() == m_options.host;
        const host_id lead = current.hosts.empty() ? host_id() : current.hosts.front();
        runMemberLease(member_assignment{current.group, current.epoch, lead}, link_id());
        led_group led;
        if (m_leads) {
            led = {current.group, current.epoch, {current.hosts.begin() + 1, current.hosts.end()}};
        }
        runGroupLeases(led);
        m_controlLeaseDue = m_now;
    }
    const bool needsOrder = m_backend && m_backend->kind == service_kind::Model && current.epoch > m_orderDoneEpoch;
    if (needsOrder && m_reachable && (m_orderSentEpoch != current.epoch || m_now >= m_orderRetryAt)) {
        m_orderSentEpoch = current.epoch;
        m_orderRetryAt = m_now + orderRetryDelay;
        emit(send_serve_order{current.epoch, current.service});
    }
    runMemberLease(member_readiness{isReady()}, link_id());
}

void backend_pipe::handle(const serve_order_result &in)
{
    if (in.accepted && in.epoch > m_orderDoneEpoch) {
        m_orderDoneEpoch = in.epoch;
        m_controlLeaseDue = m_now;
    }
    refreshAssignment();
}

void backend_pipe::runMemberLease(const member_lease_input &in, link_id replyTo)
{
    for (const member_lease_output &each : m_memberLease.step(in, m_now)) {
        std::visit(overloaded{
                       [&](const member_lease_grant &grant) {
                           emit(send_to_link{replyTo, grant});
                       },
                       [&](const member_lease_refused &refused) { emit(refused); },
                   },
                   each);
    }
}

void backend_pipe::runGroupLeases(const group_leases_input &in)
{
    for (const group_leases_output &each : m_groupLeases.step(in, m_now)) {
        std::visit(overloaded{
                       [&](const request_member_lease &lease) {
                           if (const host_record *member = m_fleet.state().host(lease.member)) {
                               emit(send_to_member{member->agent, lease.request});
                           }
                       },
                       [&](const auto &report) { emit(report); },
                   },
                   each);
    }
}

void backend_pipe::handle(const member_message &in)
{
    if (const auto *grant = std::get_if<member_lease_grant>(&in.message)) {
        runGroupLeases(*grant);
    }
}

/** Aborts all answers if the lease of a member has expired or this host's backend server is not ready. */
void backend_pipe::abortIfIncomplete()
{
    if (!m_active.empty() && (!m_groupLeases.isComplete(m_now) || !isReady())) {
        abortActiveCalls();
    }
}

void backend_pipe::extendControlLease(const lease_grant &grant)
{
    const auto renewal = m_pendingRenewals.find(grant.round);
    if (renewal == m_pendingRenewals.end()) {
        return;
    }
    m_controlLeaseUntil = renewal->second + holderLeaseTime(grant.length);
    m_controlLeaseEpoch = grant.epoch;
    m_pendingRenewals.erase(m_pendingRenewals.begin(), std::next(renewal));
}

std::optional<refusal_reason> backend_pipe::refusalReason() const
{
    if (m_stopping) {
        return refusal_reason::Stopping;
    }
    if (!m_backend || !m_reachable) {
        return refusal_reason::BackendDown;
    }
    if (m_backend->leaving) {
        return refusal_reason::Leaving;
    }
    if (!m_fleet.state().acceptsWork(m_options.zone)) {
        return refusal_reason::ZoneOut;
    }
    const bool holdsControlLease = m_now < m_controlLeaseUntil && m_controlLeaseEpoch == m_group.epoch;
    if (!m_leads || m_group.state != group_state::Active || !holdsControlLease) {
        return refusal_reason::NotLeading;
    }
    if (!isReady() || !m_groupLeases.isComplete(m_now)) {
        return refusal_reason::GroupIncomplete;
    }
    return std::nullopt;
}

void backend_pipe::updateGate()
{
    const bool held = m_leads && m_now < m_controlLeaseUntil && m_controlLeaseEpoch == m_group.epoch;
    if (held != m_holdsControlLease) {
        m_holdsControlLease = held;
        emit(control_lease_changed{held, m_controlLeaseEpoch});
    }
    const auto closed = refusalReason();
    runAdmission(admission_gate{!closed, closed.value_or(refusal_reason::NotLeading)});
}

void backend_pipe::renewControlLease()
{
    m_controlLeaseDue = m_now + controlLeaseRenewalPeriod;
    const bool isMember = m_group.group.value() != 0 && !m_leads;
    if (isMember && !m_stopping && m_backend && !m_backend->leaving) {
        return;
    }
    ++m_renewalRound;
    std::erase_if(m_pendingRenewals, [this](const auto &each) { return m_now > each.second + controlLeaseLength; });
    m_pendingRenewals.emplace(m_renewalRound, m_now);
    lease_renewal renewal{m_options.host, m_options.agentIncarnation, m_renewalRound, m_fleet.state().at(), {}, {}, 0, false, m_stopping, {}};
    if (m_leads) {
        renewal.group = m_group.group;
        renewal.epoch = m_group.epoch;
        renewal.missing = m_groupLeases.missing(m_now);
    }
    renewal.running = static_cast<std::uint32_t>(m_active.size() + m_queued.size());
    renewal.backendUp = m_group.group.value() == 0 ? m_reachable : isReady();
    emit(send_to_control{renewal});
}

void backend_pipe::announce()
{
    if (!m_backend || !m_fleet.isConfirmed()) {
        return;
    }
    const host_record current{m_options.host,
                              m_options.zone,
                              m_options.fabricDomain,
                              m_backend->service,
                              m_options.agent,
                              m_options.agentIncarnation,
                              m_backend->leaving || m_stopping,
                              m_backend->checksFencing,
                              m_backend->coldLimit,
                              m_backend->warmLimit};
    const host_record *published = m_fleet.state().host(m_options.host);
    const auto identity = [](const host_record &each) {
        return std::tuple(
            each.zone, each.fabricDomain, each.service, each.agent, each.agentIncarnation, each.leaving, each.checksFencing, each.coldLimit, each.warmLimit);
    };
    if (published == nullptr || identity(*published) != identity(current)) {
        emit(send_to_control{announce_host{current}});
    }
}

void backend_pipe::handle(const backend_announcement &in)
{
    const bool isNew = !m_backend;
    const bool startsLeaving = in.leaving && (isNew || !m_backend->leaving);
    m_backend = in;
    runAdmission(concurrency_limits{in.coldLimit, in.warmLimit});
    if (isNew) {
        emit(backend_changed{backend_change::Announced});
    }
    if (startsLeaving) {
        emit(backend_changed{backend_change::Leaving});
        renewControlLease();
    }
    if (isNew || startsLeaving) {
        announce();
        refreshAssignment();
    }
}

void backend_pipe::handle(const backend_report &in)
{
    if (!in.reachable) {
        if (m_reachable) {
            m_reachable = false;
            emit(backend_changed{backend_change::Lost});
            runAdmission(cold_start_detected{});
            abortIfIncomplete();
        }
        runMemberLease(member_readiness{isReady()}, link_id());
        return;
    }
    const bool restarted = m_serverIncarnation.value() != 0 && m_serverIncarnation != in.serverIncarnation;
    if (restarted) {
        // A restart loses the server's orders and the requests it was processing.
        m_orderDoneEpoch = m_orderSentEpoch = group_epoch();
        abortActiveCalls();
    }
    m_reachable = true;
    m_serverIncarnation = in.serverIncarnation;
    m_cachedPrefix = in.cachedPrefix != 0 ? in.cachedPrefix : m_cachedPrefix;
    if (restarted || (in.cold && !m_admission.isAtColdLimit())) {
        emit(backend_changed{backend_change::Cold});
        runAdmission(cold_start_detected{});
    }
    refreshAssignment();
}

} // namespace carawayloft
