#include <carawayloft/backend/backend_pipe.h>

#include <carawayloft/backend/lease_terms.h>
#include <carawayloft/core/overloaded.h>

namespace carawayloft {

/** An order that the backend server did not carry out is given again after this time. */
static constexpr duration orderAgain{1'000};

void backend_pipe::handle(const control_message &in)
{
    std::visit(overloaded{
                   [&](const publish_snapshot &message) { publish(message); },
                   [&](const publish_change &message) { publish(message); },
                   [&](const lease_grant &message) { granted(message); },
                   [](const auto &) {},
               },
               in.message);
}

void backend_pipe::publish(const published_fleet::input &in)
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
    const bool ordered = m_backend && (m_backend->kind == service_kind::Plain || m_obeyed == m_group.epoch);
    return m_reachable && ordered && m_group.group.value() != 0;
}

void backend_pipe::refreshAssignment()
{
    const group_record *assigned = m_fleet.state().groupOf(m_options.host);
    const group_record current = assigned == nullptr ? group_record() : *assigned;
    const bool changed = current.group != m_group.group || current.epoch != m_group.epoch;
    m_group = current;
    if (changed) {
        breakAll();
        m_leads = current.group.value() != 0 && current.hosts.front() == m_options.host;
        const host_id lead = current.hosts.empty() ? host_id() : current.hosts.front();
        runMemberLease(member_assignment{current.group, current.epoch, lead}, link_id());
        led_group led;
        if (m_leads) {
            led = {current.group, current.epoch, {current.hosts.begin() + 1, current.hosts.end()}};
        }
        runLeases(led);
        m_controlLeaseDue = m_now;
    }
    const bool needsOrder = m_backend && m_backend->kind == service_kind::Model && current.epoch > m_obeyed;
    if (needsOrder && m_reachable && (m_ordered != current.epoch || m_now >= m_orderAgainAt)) {
        m_ordered = current.epoch;
        m_orderAgainAt = m_now + orderAgain;
        emit(send_serve_order{current.epoch, current.service});
    }
    runMemberLease(member_readiness{isReady()}, link_id());
}

void backend_pipe::handle(const serve_order_result &in)
{
    if (in.accepted && in.epoch > m_obeyed) {
        m_obeyed = in.epoch;
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

void backend_pipe::runLeases(const group_leases_input &in)
{
    for (const group_leases_output &each : m_groupLeases.step(in, m_now)) {
        std::visit(overloaded{
                       [&](const request_member_lease &ask) {
                           if (const host_record *member = m_fleet.state().host(ask.member)) {
                               emit(send_to_member{member->agent, ask.request});
                           }
                       },
                       [&](const auto &note) { emit(note); },
                   },
                   each);
    }
}

void backend_pipe::handle(const member_message &in)
{
    if (const auto *grant = std::get_if<member_lease_grant>(&in.message)) {
        runLeases(*grant);
    }
}

/** Nothing more is written for a group that has lost a member, or whose own backend server has gone. */
void backend_pipe::checkWhole()
{
    if (!m_active.empty() && (!m_groupLeases.isComplete(m_now) || !isReady())) {
        breakAll();
    }
}

void backend_pipe::granted(const lease_grant &grant)
{
    const auto asked = m_controlAsked.find(grant.round);
    if (asked == m_controlAsked.end()) {
        return;
    }
    m_controlLeaseUntil = asked->second + holderLeaseTime(grant.length);
    m_controlEpoch = grant.epoch;
    m_controlAsked.erase(m_controlAsked.begin(), std::next(asked));
}

std::optional<refusal_reason> backend_pipe::closedBecause() const
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
    const bool holdsControlLease = m_now < m_controlLeaseUntil && m_controlEpoch == m_group.epoch;
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
    const bool held = m_leads && m_now < m_controlLeaseUntil && m_controlEpoch == m_group.epoch;
    if (held != m_controlHeld) {
        m_controlHeld = held;
        emit(control_lease_changed{held, m_controlEpoch});
    }
    const auto closed = closedBecause();
    runAdmission(admission_gate{!closed, closed.value_or(refusal_reason::NotLeading)});
}

void backend_pipe::renewControlLease()
{
    m_controlLeaseDue = m_now + controlLeaseRenewalPeriod;
    const bool isMember = m_group.group.value() != 0 && !m_leads;
    if (isMember && !m_stopping && m_backend && !m_backend->leaving) {
        return;
    }
    ++m_controlRound;
    std::erase_if(m_controlAsked, [this](const auto &each) { return m_now > each.second + controlLeaseLength; });
    m_controlAsked.emplace(m_controlRound, m_now);
    lease_renewal renewal{m_options.host, m_options.run, m_controlRound, m_fleet.state().at(), {}, {}, 0, false, m_stopping, {}};
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
    const host_record own{m_options.host,
                          m_options.zone,
                          m_options.fabricDomain,
                          m_backend->service,
                          m_options.agent,
                          m_options.run,
                          m_backend->leaving || m_stopping,
                          m_backend->checksFencing,
                          m_backend->coldLimit,
                          m_backend->warmLimit};
    const host_record *known = m_fleet.state().host(m_options.host);
    const auto identity = [](const host_record &each) {
        return std::tuple(
            each.zone, each.fabricDomain, each.service, each.agent, each.agentIncarnation, each.leaving, each.checksFencing, each.coldLimit, each.warmLimit);
    };
    if (known == nullptr || identity(*known) != identity(own)) {
        emit(send_to_control{announce_host{own}});
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
            checkWhole();
        }
        runMemberLease(member_readiness{isReady()}, link_id());
        return;
    }
    const bool restarted = m_backendRun.value() != 0 && m_backendRun != in.run;
    if (restarted) {
        // A restarted server has forgotten its orders and lost what it was answering.
        m_obeyed = m_ordered = group_epoch();
        breakAll();
    }
    m_reachable = true;
    m_backendRun = in.run;
    m_cachedPrefix = in.cachedPrefix != 0 ? in.cachedPrefix : m_cachedPrefix;
    if (restarted || (in.cold && !m_admission.isAtColdLimit())) {
        emit(backend_changed{backend_change::Cold});
        runAdmission(cold_start_detected{});
    }
    refreshAssignment();
}

} // namespace carawayloft
