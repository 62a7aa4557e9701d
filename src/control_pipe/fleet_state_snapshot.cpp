#include <carawayloft/control/fleet_state.h>

// The whole state as one record, for log snapshots and for new subscribers.

namespace carawayloft {

template<class Key, class Record>
static std::vector<Record> valuesOf(const std::map<Key, Record> &records)
{
    std::vector<Record> values;
    values.reserve(records.size());
    for (const auto &[key, record] : records) {
        values.push_back(record);
    }
    return values;
}

bool fleet_state::restore(const fleet_snapshot &snapshot)
{
    if (snapshot.at < m_at) {
        return false;
    }
    *this = fleet_state();
    m_at = snapshot.at;
    m_lastOperatorChange = snapshot.lastOperatorChange;
    m_lastAuthor = snapshot.lastAuthor;
    m_configuration = snapshot.configuration;
    for (const quarantine_record &each : snapshot.quarantine) {
        m_quarantine.emplace(service_trait{each.service, each.trait}, each);
    }
    m_departures.assign(snapshot.departures.begin(), snapshot.departures.end());
    for (const engine_group_record &each : snapshot.engineGroups) {
        m_engineGroups.emplace(each.epoch, each);
    }
    m_engineGroupsChangedAt = snapshot.at;
    for (const zone_record &each : snapshot.zones) {
        m_zones.emplace(each.zone, each);
    }
    for (const host_record &each : snapshot.hosts) {
        m_hosts.emplace(each.host, each);
    }
    for (const group_record &each : snapshot.groups) {
        m_groups.emplace(each.group, each);
        for (const host_id &host : each.hosts) {
            m_assignments.emplace(host, each.group);
        }
    }
    for (const service_record &each : snapshot.services) {
        m_services.emplace(each.service, each);
    }
    for (const account_record &each : snapshot.accounts) {
        m_accounts.emplace(each.account, each);
    }
    for (const plan_record &each : snapshot.plans) {
        m_plans.emplace(each.plan, each);
    }
    for (const command_result &each : snapshot.commandResults) {
        recordResult(each);
    }
    return true;
}

fleet_snapshot fleet_state::snapshot() const
{
    fleet_snapshot snapshot{m_at,
                            valuesOf(m_zones),
                            valuesOf(m_hosts),
                            valuesOf(m_groups),
                            valuesOf(m_services),
                            valuesOf(m_accounts),
                            valuesOf(m_plans),
                            {},
                            m_lastOperatorChange,
                            m_lastAuthor,
                            m_configuration,
                            valuesOf(m_quarantine),
                            {m_departures.begin(), m_departures.end()},
                            valuesOf(m_engineGroups)};
    for (const command_id &each : m_commandResultOrder) {
        snapshot.commandResults.push_back(m_commandResults.at(each));
    }
    return snapshot;
}

} // namespace carawayloft
