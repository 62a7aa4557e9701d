#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Interval of reports to control. */
static constexpr duration reportPeriod{250};

/** Reports that may still be answered; older ones are discarded. */
static constexpr std::size_t maxPendingReports = 32;

/** Time for which a group with a failed member gets no requests; control removes the group from the view sooner. */
static constexpr duration groupSuspensionTime{2'500};

/** Validity of a share of a server's request limit: another gateway may get it once control does not hear from this one. */
static constexpr duration requestShareTime{2'000};

/** Time for which an answer shows that a server outside any group is alive. */
static constexpr duration answeringTime{1'500};

/** Time for which reports list a backend server as unreachable. */
static constexpr duration unreachableReportTime{3'000};

group_monitor *gateway_pipe::monitorFor(group_epoch group)
{
    if (group.value() == 0) {
        return nullptr;
    }
    if (const auto found = m_groupMonitors.find(group); found != m_groupMonitors.end()) {
        return &found->second;
    }
    const auto known = m_view.groups().find(group);
    if (known == m_view.groups().end() || !m_routes.configuration()) {
        return nullptr;
    }
    const service_settings *service = m_routes.configuration()->service(known->second.service);
    if (service == nullptr || !service->engine) {
        return nullptr;
    }
    const auto &models = service->engine->models;
    const auto model = std::find_if(models.begin(), models.end(), [&](const model_profile &each) { return each.model == known->second.model; });
    if (model == models.end()) {
        return nullptr;
    }
    group_monitor &monitor = m_groupMonitors.emplace(group, group_monitor(*service->engine, *model, m_now)).first->second;
    monitor.updateOtherGateways({group, 0, 0, false, 0}, m_otherGateways, m_now);
    return &monitor;
}

void gateway_pipe::checkGroups()
{
    std::vector<engine_group> groups;
    for (const auto &[epoch, group] : m_view.groups()) {
        groups.push_back(group);
    }
    for (const engine_group &group : groups) {
        group_monitor *monitor = monitorFor(group.epoch);
        if (monitor == nullptr) {
            continue;
        }
        if (monitor->isStalled(m_now)) {
            if (!monitor->isSuspended(m_now)) {
                suspendGroup(group.epoch, "no progress for too long", false);
            }
        } else if (monitor->isSuspect(m_now)) {
            probeMembers(group);
        }
    }
    std::erase_if(m_groupMonitors, [this](const auto &each) { return !m_view.groups().contains(each.first) && each.second.isIdle(); });
    std::erase_if(m_unreachableUntil, [this](const auto &each) { return m_now >= each.second; });
}

/** Probes every member of a group; an unreachable member is the reason for the group's silence. */
void gateway_pipe::probeMembers(const engine_group &group)
{
    group_monitor *monitor = monitorFor(group.epoch);
    if (monitor == nullptr || !monitor->mayProbe(m_now)) {
        return;
    }
    monitor->delayNextProbe(m_now);
    for (const backend_id &member : group.members) {
        if (const backend_view::backend *backend = m_view.find(member)) {
            m_lastProbe = next(m_lastProbe);
            m_probes[m_lastProbe] = {group.epoch, member};
            emit(probe_backend{m_lastProbe, member, backend->record.address});
        }
    }
}

void gateway_pipe::handle(const probe_finished &in)
{
    const auto found = m_probes.find(in.probe);
    if (found == m_probes.end()) {
        return;
    }
    const group_probe probe = found->second;
    m_probes.erase(found);
    if (in.reachable) {
        m_unreachableUntil.erase(probe.backend);
        return;
    }
    m_unreachableUntil[probe.backend] = m_now + unreachableReportTime;
    sendReport();
    suspendGroup(probe.group, "member " + probe.backend.value() + " cannot be reached", true);
}

/**
 * Stops sending to a group and moves its calls to other groups where the requests may run again. Of a group that is not
 * known to be lost, calls that no other group would take now stay: it may be slow but sound.
 */
void gateway_pipe::suspendGroup(group_epoch group, const std::string &reason, bool isLost)
{
    group_monitor *monitor = monitorFor(group);
    if (monitor == nullptr) {
        return;
    }
    const duration silence = monitor->silence(m_now);
    monitor->suspend(m_now + groupSuspensionTime);
    std::vector<request_id> affected;
    for (const auto &[request, context] : m_activeRequests) {
        if (context.group == group && context.call.value() != 0) {
            affected.push_back(request);
        }
    }
    if (const auto known = m_view.groups().find(group); known != m_view.groups().end()) {
        recordLostCalls(known->second.head(), affected);
    }
    if (!affected.empty()) {
        emit(group_suspended{group, reason, silence, affected.size()});
    }
    for (const request_id &request : affected) {
        if (const auto found = m_activeRequests.find(request); found != m_activeRequests.end() && found->second.route->allowsRetry()
                                                               && found->second.possibleRuns < found->second.route->attempts
                                                               && (isLost || canMove(found->second))) {
            emit(cancel_call{found->second.call});
            handleCallFailure(found->second, true, reason);
        }
    }
}

void gateway_pipe::handle(const control_message &in)
{
    std::visit(overloaded{
                   [&](const publish_snapshot &message) { applyFleetChange(message); },
                   [&](const publish_change &message) { applyFleetChange(message); },
                   [&](const publish_fleet &message) { applyPublication(message); },
                   [&](const gateway_grant &message) { applyGrant(message); },
                   [](const auto &) {},
               },
               in.message);
}

void gateway_pipe::applyFleetChange(const published_fleet::input &change)
{
    for (const published_fleet::output &each : m_fleet.step(change, m_now)) {
        std::visit([this](const auto &out) { emit(out); }, each);
    }
    dropQuarantined();
}

/** The limit of the server on the requests of all gateways together, in requests per second; zero for none. */
double gateway_pipe::namedLimitOf(const backend_record &record) const
{
    return m_limitObservations.limitOf(record.backend, record.requestLimit, m_now);
}

/** This gateway's share of the server's limit; nothing if it has none. */
std::optional<double> gateway_pipe::namedShareOf(const backend_record &record) const
{
    const double limit = namedLimitOf(record);
    if (limit <= 0.0) {
        return std::nullopt;
    }
    if (record.requestLimit <= 0.0) {
        return m_limiter.equalShare(limit); // Control has not divided it yet.
    }
    const auto granted = m_requestShares.find(record.backend);
    return granted == m_requestShares.end() || m_now >= m_requestSharesUntil ? 0.0 : granted->second * std::min(1.0, limit / record.requestLimit);
}

void gateway_pipe::recordNamedLimit(const backend_id &backend, std::optional<double> limit)
{
    const backend_view::backend *known = m_view.find(backend);
    if (known != nullptr && m_limitObservations.record(backend, limit, known->record.requestLimit, m_now)) {
        emit(backend_limit_observed{backend, limit});
    }
}

/** Drops what is kept of backend servers that are gone. */
void gateway_pipe::forgetBackend(const backend_id &backend)
{
    m_limitObservations.forget(backend);
    m_notices.forget(backend);
    m_limiter.forget(backend);
}

void gateway_pipe::applyPublication(const publish_fleet &publication)
{
    m_view.apply(publication, m_now);
    for (const backend_record &each : publication.backends) {
        m_limitObservations.limitPublished(each.backend, each.requestLimit, m_now);
    }
    for (const retired_backend &each : publication.retiredBackends) {
        forgetBackend(each.backend);
    }
    if (publication.snapshot) {
        m_crashWitness.reportAgain(); // It comes from a leader that has just taken over, or just heard of this gateway.
    }
    for (const retired_group &each : publication.retiredGroups) {
        suspendGroup(each.epoch, "closed by control", true);
    }
    std::erase_if(m_serverStats, [this](const auto &each) { return m_view.find(each.first) == nullptr && each.second.running == 0; });
}

void gateway_pipe::applyGrant(const gateway_grant &grant)
{
    const auto reported = m_reportedAt.find(grant.round);
    if (reported == m_reportedAt.end()) {
        return;
    }
    if (m_fleet.isConfirmed() && m_fleet.state().at() >= grant.at) {
        m_leaseUntil = std::max(m_leaseUntil, reported->second + grant.length);
    }
    m_reportedAt.erase(m_reportedAt.begin(), std::next(reported));
    m_limiter.setGateways(grant.gateways, m_now);
    m_byteLimiter.setGateways(grant.gateways);
    if (grant.turns > 0) {
        m_limiter.assignTurn({grant.turn, grant.turns, duration(grant.turnClockMs)}, m_now);
    }
    m_peakRates.setTraffic(grant.modelTraffic);
    m_peakRates.setCapacities(grant.capacities);
    m_admission.step(demand_granted{grant.modelTraffic, grant.classDemand, grant.gateways}, m_now);
    m_crashWitness.setSuspects(grant.suspects);
    m_requestShares.clear();
    for (const request_share &each : grant.requestShares) {
        m_requestShares.emplace(each.backend, each.requestsPerSecond);
    }
    m_requestSharesUntil = m_now + requestShareTime;
    m_otherGateways = grant.gateways > 0 ? grant.gateways - 1 : 0;
    for (auto &[epoch, monitor] : m_groupMonitors) {
        const auto others = std::find_if(grant.others.begin(), grant.others.end(), [&, id = epoch](const group_load &each) { return each.epoch == id; });
        monitor.updateOtherGateways(others == grant.others.end() ? group_load{epoch, 0, 0, false, 0} : *others, m_otherGateways, m_now);
    }
    emitLeaseChange();
}

void gateway_pipe::emitLeaseChange()
{
    if (m_emittedLease != holdsLease()) {
        m_emittedLease = holdsLease();
        emit(serving_lease_changed{m_emittedLease, m_fleet.state().at()});
    }
}

/** The servers that leave, as far as control has not published it. */
std::vector<leaving_backend> gateway_pipe::unpublishedLeaving() const
{
    std::vector<leaving_backend> out = m_notices.leaving();
    std::erase_if(out, [this](const leaving_backend &each) {
        const backend_view::backend *known = m_view.find(each.backend);
        return known == nullptr || known->record.startedAt != each.startedAt || known->record.state != backend_state::Ready;
    });
    return out;
}

/** The servers outside groups that have answered this gateway lately, which shows that they are alive. */
std::vector<backend_id> gateway_pipe::answeringServers() const
{
    std::vector<backend_id> out;
    for (const auto &[backend, stats] : m_serverStats) {
        if (stats.answeredAt != time_point() && m_now < stats.answeredAt + answeringTime) {
            out.push_back(backend);
        }
    }
    return out;
}

void gateway_pipe::sendReport()
{
    m_nextReportAt = m_now + reportPeriod;
    gateway_report report;
    report.round = ++m_lastRound;
    report.at = m_fleet.state().at();
    for (auto &[epoch, monitor] : m_groupMonitors) {
        report.loads.push_back(monitor.ownLoad(epoch, m_now));
    }
    for (const auto &[backend, until] : m_unreachableUntil) {
        report.unreachable.push_back(backend);
    }
    report.modelTraffic = m_trafficMeter.averages(m_now);
    report.classDemand = m_classMeter.averages(m_now);
    m_admission.step(own_demand_measured{report.modelTraffic}, m_now);
    report.exposures = m_crashWitness.takeExposures(m_now);
    report.survivals = m_crashWitness.survivals(m_now);
    report.requestLimits = m_limitObservations.report(m_now);
    report.leaving = unpublishedLeaving();
    report.answering = answeringServers();
    report.capacities = m_peakRates.capacities();
    m_reportedAt.emplace(m_lastRound, m_now);
    while (m_reportedAt.size() > maxPendingReports) {
        m_reportedAt.erase(m_reportedAt.begin());
    }
    emit(send_to_control{std::move(report)});
}

} // namespace carawayloft
