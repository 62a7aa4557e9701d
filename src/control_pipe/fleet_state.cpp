#include <carawayloft/control/fleet_state.h>

#include <algorithm>
#include <set>

namespace carawayloft {

/** Number of command results kept for retries; the oldest are evicted first. */
static constexpr std::size_t maxCommandResults = 10'000;

/** Number of traits in quarantine; a fleet in which that many traits crash servers has another fault. */
static constexpr std::size_t maxQuarantined = 256;

/** Number of departures remembered; the oldest are dropped first. An announcement of a server that left is late by seconds at most. */
static constexpr std::size_t maxDepartures = 1'024;

/** Number of recorded groups of engines: more than 5,300 servers can be in at once. None is dropped, since its members would count as free. */
static constexpr std::size_t maxEngineGroups = 8'192;

static status reject(error_kind kind, std::string what, std::string remedy)
{
    return error{kind, std::move(what), std::move(remedy)};
}

result<revision> fleet_state::apply(const fleet_command &command, revision at)
{
    if (const auto known = m_commandResults.find(command.command); !command.command.value().empty() && known != m_commandResults.end()) {
        m_at = at;
        if (known->second.refused != 0) {
            return error{static_cast<error_kind>(known->second.kind), known->second.what, known->second.remedy};
        }
        return known->second.at;
    }
    status outcome = checkRevision(command);
    if (!failed(outcome)) {
        outcome = std::visit([&](const auto &each) { return change(each, at); }, command.change);
    }
    m_at = at;
    command_result applied{command.command, command.author, at, 0, 0, {}, {}};
    if (failed(outcome)) {
        const error &rejection = errorOf(outcome);
        applied.refused = 1;
        applied.kind = static_cast<std::uint8_t>(rejection.kind);
        applied.what = rejection.what;
        applied.remedy = rejection.remedy;
    } else if (!command.command.value().empty()) {
        m_lastOperatorChange = at;
        m_lastAuthor = command.author;
    }
    if (!command.command.value().empty()) {
        recordResult(std::move(applied));
    }
    return failed(outcome) ? result<revision>(errorOf(outcome)) : result<revision>(at);
}

status fleet_state::checkRevision(const fleet_command &command) const
{
    if (command.seenRevision.value() == 0 || command.seenRevision >= m_lastOperatorChange) {
        return {};
    }
    return reject(error_kind::RevisionConflict,
                  "revision " + std::to_string(command.seenRevision.value()) + " is older than the change by " + m_lastAuthor + " at revision "
                      + std::to_string(m_lastOperatorChange.value()),
                  "read the state again and retry the command with its revision");
}

void fleet_state::recordResult(command_result applied)
{
    if (m_commandResultOrder.size() >= maxCommandResults) {
        m_commandResults.erase(m_commandResultOrder.front());
        m_commandResultOrder.pop_front();
    }
    m_commandResultOrder.push_back(applied.command);
    m_commandResults.emplace(applied.command, std::move(applied));
}

status fleet_state::change(const put_zone &change, revision)
{
    const bool known = m_zones.contains(change.zone.zone)
                       || std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto &each) { return each.second.zone == change.zone.zone; });
    if (!known && change.zone.state != zone_state::Arriving && change.zone.state != zone_state::Serving) {
        return reject(error_kind::UnknownZone,
                      "availability zone '" + change.zone.zone.value() + "' is not known",
                      "list the zones with 'carawayloft zones', or declare it as arriving first");
    }
    m_zones.insert_or_assign(change.zone.zone, change.zone);
    return {};
}

status fleet_state::change(const put_host &change, revision)
{
    m_hosts.insert_or_assign(change.host.host, change.host);
    m_zones.try_emplace(change.host.zone, zone_record{change.host.zone, zone_state::Serving});
    return {};
}

status fleet_state::change(const remove_host &change, revision)
{
    if (const group_record *group = groupOf(change.host)) {
        return reject(error_kind::HostAlreadyAssigned,
                      "host '" + change.host.value() + "' belongs to group " + std::to_string(group->group.value()),
                      "dissolve the group or replace the member first");
    }
    m_hosts.erase(change.host);
    return {};
}

status fleet_state::change(const put_service &change, revision)
{
    if (change.service.hostsPerGroup == 0) {
        return reject(error_kind::InvalidRequest, "service '" + change.service.service.value() + "' has 0 hosts per group", "set hosts_per_group to 1 or more");
    }
    m_services.insert_or_assign(change.service.service, change.service);
    return {};
}

status fleet_state::change(const put_account &change, revision)
{
    if (change.account.weight == 0) {
        return reject(error_kind::InvalidRequest, "client account '" + change.account.account.value() + "' has weight 0", "set weight to 1 or more");
    }
    m_accounts.insert_or_assign(change.account.account, change.account);
    return {};
}

status fleet_state::checkAvailable(const host_id &host, const service_id &service) const
{
    const host_record *record = this->host(host);
    if (record == nullptr || record->service != service) {
        return reject(error_kind::UnknownHost,
                      "host '" + host.value() + "' does not announce service '" + service.value() + "'",
                      "list the hosts with 'carawayloft status'");
    }
    if (const group_record *group = groupOf(host)) {
        return reject(error_kind::HostAlreadyAssigned,
                      "host '" + host.value() + "' belongs to group " + std::to_string(group->group.value()),
                      "choose a host that belongs to no group");
    }
    return {};
}

status fleet_state::change(const create_group &change, revision at)
{
    const auto service = m_services.find(change.service);
    if (service == m_services.end()) {
        return reject(error_kind::UnknownService, "service '" + change.service.value() + "' is not known", "declare it with 'carawayloft services put'");
    }
    const std::set<host_id> distinct(change.hosts.begin(), change.hosts.end());
    if (distinct.size() != change.hosts.size() || change.hosts.size() != service->second.hostsPerGroup) {
        return reject(error_kind::InvalidRequest,
                      "a group of service '" + change.service.value() + "' needs " + std::to_string(service->second.hostsPerGroup) + " distinct hosts",
                      "list that many distinct hosts");
    }
    for (const host_id &host : change.hosts) {
        if (status available = checkAvailable(host, change.service); failed(available)) {
            return available;
        }
    }
    const group_id group(at.value());
    m_groups.emplace(group, group_record{group, group_epoch(at.value()), change.service, change.hosts, group_state::Active, at});
    for (const host_id &host : change.hosts) {
        m_assignments.emplace(host, group);
    }
    return {};
}

result<group_record *> fleet_state::findGroup(group_id group, group_epoch epoch)
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return error{error_kind::UnknownGroup, "group " + std::to_string(group.value()) + " does not exist", "list the groups with 'carawayloft groups'"};
    }
    if (found->second.epoch != epoch) {
        return error{error_kind::RevisionConflict,
                     "group " + std::to_string(group.value()) + " is in epoch " + std::to_string(found->second.epoch.value()),
                     "read the group again and retry the change with its epoch"};
    }
    return &found->second;
}

status fleet_state::change(const replace_member &change, revision at)
{
    const result<group_record *> found = findGroup(change.group, change.epoch);
    if (failed(found)) {
        return errorOf(found);
    }
    group_record &group = *valueOf(found);
    const auto position = std::find(group.hosts.begin(), group.hosts.end(), change.leaving);
    if (position == group.hosts.end()) {
        return reject(
            error_kind::UnknownHost, "host '" + change.leaving.value() + "' is not a member of the group", "list the groups with 'carawayloft groups'");
    }
    if (status available = checkAvailable(change.joining, group.service); failed(available)) {
        return available;
    }
    *position = change.joining;
    group.epoch = group_epoch(at.value());
    group.changedAt = at;
    m_assignments.erase(change.leaving);
    m_assignments.emplace(change.joining, change.group);
    return {};
}

status fleet_state::change(const drain_group &change, revision at)
{
    const result<group_record *> found = findGroup(change.group, change.epoch);
    if (failed(found)) {
        return errorOf(found);
    }
    valueOf(found)->state = group_state::Draining;
    valueOf(found)->changedAt = at;
    return {};
}

status fleet_state::change(const dissolve_group &change, revision)
{
    const result<group_record *> found = findGroup(change.group, change.epoch);
    if (failed(found)) {
        return errorOf(found);
    }
    for (const host_id &host : valueOf(found)->hosts) {
        m_assignments.erase(host);
    }
    m_groups.erase(change.group);
    return {};
}

status fleet_state::change(const propose_plan &change, revision at)
{
    plan_record plan = change.plan;
    plan.plan = plan_id(at.value());
    plan.state = plan_state::Proposed;
    plan.nextStep = 0;
    m_plans.emplace(plan.plan, std::move(plan));
    return {};
}

result<plan_record *> fleet_state::findPlan(plan_id plan)
{
    const auto found = m_plans.find(plan);
    if (found == m_plans.end()) {
        return error{error_kind::UnknownPlan, "plan " + std::to_string(plan.value()) + " does not exist", "list the plans with 'carawayloft plan list'"};
    }
    return &found->second;
}

status fleet_state::change(const confirm_plan &change, revision)
{
    const result<plan_record *> found = findPlan(change.plan);
    if (failed(found)) {
        return errorOf(found);
    }
    plan_record &plan = *valueOf(found);
    if (plan.state != plan_state::Proposed) {
        return reject(
            error_kind::PlanConflict, "plan " + std::to_string(plan.plan.value()) + " is already confirmed, done or cancelled", "state the intent again");
    }
    if (m_lastOperatorChange > revision(plan.plan.value())) {
        return reject(error_kind::PlanConflict,
                      "plan " + std::to_string(plan.plan.value()) + " was computed before the change by " + m_lastAuthor + " at revision "
                          + std::to_string(m_lastOperatorChange.value()),
                      "state the intent again to get a plan for the current state");
    }
    const auto active = std::find_if(m_plans.begin(), m_plans.end(), [](const auto &each) { return each.second.state == plan_state::Confirmed; });
    if (active != m_plans.end()) {
        return reject(error_kind::PlanConflict,
                      "plan " + std::to_string(active->first.value()) + " is already in progress",
                      "wait for it or cancel it with 'carawayloft plan cancel'");
    }
    plan.state = plan_state::Confirmed;
    return {};
}

status fleet_state::change(const cancel_plan &change, revision)
{
    const result<plan_record *> found = findPlan(change.plan);
    if (failed(found)) {
        return errorOf(found);
    }
    if (valueOf(found)->state == plan_state::Done) {
        return reject(error_kind::PlanConflict, "plan " + std::to_string(change.plan.value()) + " is done", "use 'carawayloft zone back' to undo it");
    }
    valueOf(found)->state = plan_state::Cancelled;
    return {};
}

status fleet_state::change(const advance_plan &change, revision)
{
    const result<plan_record *> found = findPlan(change.plan);
    if (failed(found)) {
        return errorOf(found);
    }
    plan_record &plan = *valueOf(found);
    if (plan.state != plan_state::Confirmed || plan.nextStep != change.step) {
        return {};
    }
    ++plan.nextStep;
    if (plan.nextStep >= plan.steps.size()) {
        plan.state = plan_state::Done;
    }
    return {};
}

status fleet_state::change(const put_configuration &change, revision)
{
    if (change.configuration.version > m_configuration.version) {
        m_configuration = change.configuration;
    }
    return {};
}

status fleet_state::change(const quarantine_trait &change, revision)
{
    if (m_quarantine.size() >= maxQuarantined) {
        return reject(error_kind::InvalidRequest,
                      std::to_string(maxQuarantined) + " traits are in quarantine already",
                      "release some with 'carawayloft quarantine release'");
    }
    m_quarantine.insert_or_assign({change.quarantine.service, change.quarantine.trait}, change.quarantine);
    return {};
}

status fleet_state::change(const release_trait &change, revision)
{
    if (m_quarantine.erase(change.subject) == 0) {
        return reject(error_kind::UnknownQuarantine,
                      "'" + change.subject.trait.value() + "' of service '" + change.subject.service.value() + "' is not in quarantine",
                      "list the traits in quarantine with 'carawayloft quarantine list'");
    }
    return {};
}

bool fleet_state::hasDeparted(const departure_record &departure) const
{
    return std::any_of(m_departures.begin(), m_departures.end(), [&](const departure_record &each) {
        return each.backend == departure.backend && each.startedAt >= departure.startedAt;
    });
}

status fleet_state::change(const record_departure &change, revision)
{
    if (hasDeparted(change.departure)) {
        return {};
    }
    std::erase_if(m_departures, [&](const departure_record &each) { return each.backend == change.departure.backend; });
    m_departures.push_back(change.departure);
    if (m_departures.size() > maxDepartures) {
        m_departures.pop_front();
    }
    return {};
}

status fleet_state::change(const record_engine_groups &change, revision at)
{
    const auto removed
        = std::count_if(change.retired.begin(), change.retired.end(), [this](const removed_engine_group &each) { return m_engineGroups.contains(each.epoch); });
    if (m_engineGroups.size() - static_cast<std::size_t>(removed) + change.formed.size() > maxEngineGroups) {
        return reject(error_kind::InvalidRequest,
                      std::to_string(m_engineGroups.size()) + " groups of engines are recorded already",
                      "find out why groups are not retired: look for 'engine_group_retired' in the log");
    }
    if (std::any_of(change.formed.begin(), change.formed.end(), [](const engine_group_record &each) { return each.members.empty(); })) {
        return reject(error_kind::InvalidRequest, "a group of engines has no members", "name its members, the head first");
    }
    for (const removed_engine_group &each : change.retired) {
        m_engineGroups.erase(each.epoch);
    }
    for (const engine_group_record &each : change.formed) {
        m_engineGroups.emplace(each.epoch, each);
    }
    m_engineGroupsChangedAt = at;
    return {};
}

const group_record *fleet_state::groupOf(const host_id &host) const
{
    const auto assigned = m_assignments.find(host);
    return assigned == m_assignments.end() ? nullptr : &m_groups.at(assigned->second);
}

const host_record *fleet_state::host(const host_id &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

bool fleet_state::acceptsWork(const availability_zone_id &zone) const
{
    const auto found = m_zones.find(zone);
    return found == m_zones.end() || found->second.state == zone_state::Serving || found->second.state == zone_state::Arriving;
}

} // namespace carawayloft
