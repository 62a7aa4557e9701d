#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Time between two reports to control. */
static constexpr duration reportPeriod{250};

/** Reports whose answer may still come; older ones are forgotten. */
static constexpr std::size_t maxOpenReports = 32;

/** Time for which a group with a dead member gets nothing; control takes it out of the view before. */
static constexpr duration deadMemberSuspension{2'500};

/** Time for which control is told that a backend server cannot be reached. */
static constexpr duration unreachableTime{3'000};

group_monitor *gateway_pipe::watchOf(group_epoch group)
{
    if (group.value() == 0) {
        return nullptr;
    }
    if (const auto found = m_groups.find(group); found != m_groups.end()) {
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
    group_monitor &watch = m_groups.emplace(group, group_monitor(*service->engine, *model, m_now)).first->second;
    watch.setOthers({group, 0, 0, false, 0}, m_otherGateways, m_now);
    return &watch;
}

void gateway_pipe::watchGroups()
{
    std::vector<engine_group> groups;
    for (const auto &[epoch, group] : m_view.groups()) {
        groups.push_back(group);
    }
    for (const engine_group &group : groups) {
        group_monitor *watch = watchOf(group.epoch);
        if (watch == nullptr) {
            continue;
        }
        if (watch->isStuck(m_now)) {
            suspend(group.epoch, "silent for too long");
        } else if (watch->isSuspect(m_now)) {
            suspect(group);
        }
    }
    std::erase_if(m_groups, [this](const auto &each) { return !m_view.groups().contains(each.first) && each.second.ownLoad(each.first, m_now).running == 0; });
    std::erase_if(m_unreachable, [this](const auto &each) { return m_now >= each.second; });
}

/** Tests every member of a group; a member that cannot be reached explains its silence. */
void gateway_pipe::suspect(const engine_group &group)
{
    group_monitor *watch = watchOf(group.epoch);
    if (watch == nullptr || !watch->mayBeTested(m_now)) {
        return;
    }
    watch->postponeSuspicion(m_now);
    for (const backend_id &member : group.members) {
        if (const backend_view::backend *backend = m_view.find(member)) {
            m_lastProbe = next(m_lastProbe);
            m_probes[m_lastProbe] = {group.epoch, member};
            emit(probe_backend{m_lastProbe, member, backend->record.address});
        }
    }
}

void gateway_pipe::take(const probe_finished &in)
{
    const auto found = m_probes.find(in.probe);
    if (found == m_probes.end()) {
        return;
    }
    const group_probe probe = found->second;
    m_probes.erase(found);
    if (in.reachable) {
        m_unreachable.erase(probe.backend);
        return;
    }
    m_unreachable[probe.backend] = m_now + unreachableTime;
    report();
    suspend(probe.group, "member " + probe.backend.value() + " cannot be reached");
}

/** Gives a group no more work, and lets its streams go on elsewhere. */
void gateway_pipe::suspend(group_epoch group, const std::string &reason)
{
    group_monitor *watch = watchOf(group);
    if (watch == nullptr) {
        return;
    }
    const duration silence = watch->silence(m_now);
    watch->suspend(m_now + deadMemberSuspension);
    std::vector<request_id> moved;
    for (const auto &[request, each] : m_flows) {
        if (each.group == group && each.call.value() != 0) {
            moved.push_back(request);
        }
    }
    if (!moved.empty()) {
        emit(group_suspended{group, reason, silence, moved.size()});
    }
    for (const request_id &request : moved) {
        if (const auto found = m_flows.find(request);
            found != m_flows.end() && found->second.route->allowsRetry() && found->second.possibleRuns < found->second.route->attempts) {
            emit(cancel_call{found->second.call});
            callFailed(found->second, true, reason);
        }
    }
}

void gateway_pipe::take(const control_message &in)
{
    std::visit(overloaded{
                   [&](const publish_snapshot &message) {
                       for (const auto &each : m_fleet.step(message, m_now)) {
                           std::visit([this](const auto &out) { emit(out); }, each);
                       }
                   },
                   [&](const publish_change &message) {
                       for (const auto &each : m_fleet.step(message, m_now)) {
                           std::visit([this](const auto &out) { emit(out); }, each);
                       }
                   },
                   [&](const publish_fleet &message) { applyView(message); },
                   [&](const gateway_grant &message) { granted(message); },
                   [](const auto &) {},
               },
               in.message);
}

void gateway_pipe::applyView(const publish_fleet &publication)
{
    m_view.apply(publication, m_now);
    for (const retired_group &each : publication.retiredGroups) {
        suspend(each.epoch, "control has closed it");
    }
    std::erase_if(m_servers, [this](const auto &each) { return m_view.find(each.first) == nullptr && each.second.running == 0; });
}

void gateway_pipe::granted(const gateway_grant &grant)
{
    const auto reported = m_reportedAt.find(grant.round);
    if (reported == m_reportedAt.end()) {
        return;
    }
    if (m_fleet.isConfirmed() && m_fleet.state().at() >= grant.at) {
        m_rightUntil = std::max(m_rightUntil, reported->second + grant.length);
    }
    m_reportedAt.erase(m_reportedAt.begin(), std::next(reported));
    m_limits.setGateways(grant.gateways, m_now);
    m_otherGateways = grant.gateways > 0 ? grant.gateways - 1 : 0;
    for (auto &[epoch, watch] : m_groups) {
        const auto others = std::find_if(grant.others.begin(), grant.others.end(), [&, id = epoch](const group_load &each) { return each.epoch == id; });
        watch.setOthers(others == grant.others.end() ? group_load{epoch, 0, 0, false, 0} : *others, m_otherGateways, m_now);
    }
    lookAtRight();
}

void gateway_pipe::lookAtRight()
{
    if (m_heldRight != holdsRight()) {
        m_heldRight = holdsRight();
        emit(serving_lease_changed{m_heldRight, m_fleet.state().at()});
    }
}

void gateway_pipe::report()
{
    m_reportDue = m_now + reportPeriod;
    gateway_report report;
    report.round = ++m_round;
    report.at = m_fleet.state().at();
    for (const auto &[epoch, watch] : m_groups) {
        report.loads.push_back(watch.ownLoad(epoch, m_now));
    }
    for (const auto &[backend, until] : m_unreachable) {
        report.unreachable.push_back(backend);
    }
    report.modelTraffic = m_meter.averages(m_now);
    m_reportedAt.emplace(m_round, m_now);
    while (m_reportedAt.size() > maxOpenReports) {
        m_reportedAt.erase(m_reportedAt.begin());
    }
    emit(send_to_control{std::move(report)});
}

} // namespace carawayloft
