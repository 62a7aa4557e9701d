#include <carawayloft/fleet/fleet_pipe.h>

#include <algorithm>

namespace carawayloft {

/** Interval of reconcile passes in the absence of other inputs. */
static constexpr duration reconcilePeriod{100};

/** Silence after which a backend server is probed: two announcement periods and some delay. */
static constexpr duration probeAfterSilence{2'700};

/** Silence after which a backend server counts as lost even if probes succeed. */
static constexpr duration lostAfterSilence{9'000};

/** Retention time of the record of a server that left or was lost. */
static constexpr duration removedRecordRetention{120'000};

/** Minimum time between two probes of one backend server. */
static constexpr duration probeInterval{700};

/** Time for which a failed probe counts as evidence. */
static constexpr duration failedProbeValidity{1'500};

std::vector<fleet_pipe::output> fleet_pipe::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    std::visit([this](const auto &each) { handle(each); }, in);
    return std::move(m_out);
}

void fleet_pipe::handle(const fleet_tick &)
{
    if (!m_leads || m_now < m_reconcileDue) {
        return;
    }
    checkSilentBackends();
    expireRecords();
    stepCorrelator(crash_tick{});
    reconcile();
}

void fleet_pipe::handle(const leadership_changed &in)
{
    if (m_leads == in.leads && m_term == in.term) {
        return;
    }
    m_term = in.term;
    if (m_leads && !in.leads) {
        m_mirror.apply(snapshot(m_now), m_now);
        stepController(group_control_ended{});
        m_gateways.clear();
        m_turns.clear();
        m_probes.clear();
        m_probeRecords.clear();
    }
    m_leads = in.leads;
    if (!m_leads) {
        return;
    }
    m_leadsSince = m_now;
    m_capacities.clear();
    m_adoptedCapacities.clear();
    m_registry = backend_registry();
    m_registry.step(departures_recorded{m_departures}, m_now);
    m_correlator = crash_correlator();
    stepCorrelator(quarantine_changed{m_quarantinedTraits});
    const publish_fleet inherited = m_mirror.snapshot(m_now);
    std::vector<backend_id> known;
    for (const backend_record &each : inherited.backends) {
        m_registry.step(mirrored_backend_record{each}, m_now);
        known.push_back(each.backend);
    }
    m_trafficStarted = m_trafficStarted || !inherited.groups.empty();
    stepController(group_control_began{m_term, in.precedingTerm, inherited.groups, m_recordedGroups, std::move(known)});
    m_out.emplace_back(mirror_fleet{snapshot(m_now)});
    reconcile();
}

void fleet_pipe::handle(const services_changed &in)
{
    m_services = in.services;
    std::erase_if(m_capacities, [this](const auto &each) { return !hasModel(each.first); });
    reconcile();
}

void fleet_pipe::handle(const zones_out_changed &in)
{
    m_zonesOut = in.zones;
    reconcile();
}

void fleet_pipe::handle(const quarantined_traits_changed &in)
{
    m_quarantinedTraits = in.traits;
    stepCorrelator(quarantine_changed{in.traits});
}

void fleet_pipe::handle(const departures_changed &in)
{
    m_departures = in.departures;
    stepRegistry(departures_recorded{in.departures}, "departure recorded");
}

void fleet_pipe::handle(const engine_groups_changed &in)
{
    m_recordedGroups = in.groups;
    if (m_leads) {
        stepController(groups_recorded{in.groups});
        reconcile();
    }
}

void fleet_pipe::handle(const leader_lease_changed &in)
{
    m_holdsLease = in.held;
    reconcile();
}

void fleet_pipe::handle(const check_in_received &in)
{
    const bool known
        = std::any_of(m_services.begin(), m_services.end(), [&](const service_settings &each) { return each.service == in.announcement.record.service; });
    if (known || m_services.empty()) {
        stepRegistry(in.announcement, "announcement received");
    }
}

void fleet_pipe::handle(const departure_received &in)
{
    stepRegistry(in.departure, "server announced its departure");
}

void fleet_pipe::handle(const fleet_mirrored &in)
{
    if (!m_leads) {
        m_mirror.apply(in.publication, m_now);
    }
}

void fleet_pipe::handle(const order_finished &in)
{
    stepController(in);
    reconcile();
}

/** Probes a backend server, unless it is gone or was probed within probeInterval. */
void fleet_pipe::startProbe(const backend_id &backend)
{
    const backend_registry::entry *entry = m_registry.find(backend);
    if (entry == nullptr || entry->record.state == backend_state::Left || entry->record.state == backend_state::Lost) {
        return;
    }
    const auto [last, isNew] = m_probeRecords.try_emplace(backend, probe_record{m_now, std::nullopt});
    if (!isNew && m_now < last->second.startedAt + probeInterval) {
        return;
    }
    last->second.startedAt = m_now;
    m_lastProbe = next(m_lastProbe);
    m_probes[m_lastProbe] = backend;
    m_out.emplace_back(probe_backend{m_lastProbe, backend, entry->record.address});
}

/** Combines a gateway's report that the backend server is unreachable with the result of a probe by this replica. */
void fleet_pipe::handleUnreachableReport(const backend_id &backend)
{
    const auto probed = m_probeRecords.find(backend);
    if (probed != m_probeRecords.end() && probed->second.failedAt && m_now < *probed->second.failedAt + failedProbeValidity) {
        assessUnreachable(backend);
    } else {
        startProbe(backend);
    }
}

/** Whether gateways report progress in the group of @p member, which shows that the member is alive. */
bool fleet_pipe::groupProgresses(const backend_id &member) const
{
    for (const engine_group &group : m_controller.groups()) {
        if (std::find(group.members.begin(), group.members.end(), member) == group.members.end()) {
            continue;
        }
        return std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto &each) {
            return std::any_of(
                each.second.loads.begin(), each.second.loads.end(), [&](const group_load &load) { return load.epoch == group.epoch && load.progressing; });
        });
    }
    return false;
}

/** Whether gateways get answers from the backend server or its group, which shows that it is alive. */
bool fleet_pipe::isServing(const backend_id &backend) const
{
    return groupProgresses(backend)
           || std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto &each) { return each.second.answering.contains(backend); });
}

/** Whether any gateway reports the backend server as unreachable. */
bool fleet_pipe::isReportedUnreachable(const backend_id &backend) const
{
    return std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto &each) { return each.second.unreachable.contains(backend); });
}

/** Whether every gateway with requests in flight at the group that @p backend heads reports it as unreachable. */
bool fleet_pipe::isUnreachableForAllUsers(const backend_id &backend) const
{
    for (const engine_group &group : m_controller.groups()) {
        if (group.head() != backend) {
            continue;
        }
        return std::none_of(m_gateways.begin(), m_gateways.end(), [&](const auto &each) {
            const bool uses = std::any_of(
                each.second.loads.begin(), each.second.loads.end(), [&](const group_load &load) { return load.epoch == group.epoch && load.running > 0; });
            return uses && !each.second.unreachable.contains(backend);
        });
    }
    return true;
}

/** Decides whether a backend server that failed a probe is lost, and whether it is confirmed to be down. */
void fleet_pipe::assessUnreachable(const backend_id &backend)
{
    const bool confirmed = isReportedUnreachable(backend) && isUnreachableForAllUsers(backend);
    if (!confirmed && isServing(backend)) {
        return;
    }
    stepRegistry(backend_failure{backend, confirmed}, confirmed ? "unreachable for gateways and control" : "unreachable for control");
}

void fleet_pipe::checkSilentBackends()
{
    std::vector<backend_id> silent;
    for (const auto &[id, entry] : m_registry.entries()) {
        const bool present = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const time_point heardAt = std::max(entry.heardAt, m_leadsSince);
        if (present && m_now >= heardAt + probeAfterSilence) {
            silent.push_back(id);
        }
    }
    for (const backend_id &each : silent) {
        const time_point heardAt = std::max(m_registry.find(each)->heardAt, m_leadsSince);
        if (m_now >= heardAt + lostAfterSilence && !isServing(each)) {
            stepRegistry(backend_failure{each, false}, "announcements stopped");
        } else {
            startProbe(each);
        }
    }
}

/** Removes records of departed servers, which are kept only while a delayed announcement may still arrive. */
void fleet_pipe::expireRecords()
{
    publish_fleet change;
    for (const auto &[id, entry] : m_registry.entries()) {
        const bool gone = entry.record.state == backend_state::Left || entry.record.state == backend_state::Lost;
        if (gone && m_now >= std::max(entry.lostAt, entry.heardAt) + removedRecordRetention) {
            change.retiredBackends.push_back({id});
        }
    }
    for (const retired_backend &each : change.retiredBackends) {
        m_registry.step(backend_record_expired{each.backend}, m_now);
        m_probeRecords.erase(each.backend);
    }
    if (!change.empty()) {
        publish(std::move(change));
    }
}

void fleet_pipe::handle(const probe_finished &in)
{
    const auto found = m_probes.find(in.probe);
    if (found == m_probes.end()) {
        return;
    }
    const backend_id backend = found->second;
    m_probes.erase(found);
    probe_record &record = m_probeRecords[backend];
    record.failedAt = in.reachable ? std::nullopt : std::optional(m_now);
    if (!in.reachable) {
        assessUnreachable(backend);
    }
}

backend_record fleet_pipe::currentRecord(const backend_id &backend, time_point now) const
{
    const backend_registry::entry &entry = *m_registry.find(backend);
    backend_record record = entry.record;
    record.coldLeft = std::max(duration(0), std::chrono::ceil<duration>(entry.coldUntil - now));
    return record;
}

publish_fleet fleet_pipe::snapshot(time_point now) const
{
    publish_fleet publication;
    publication.snapshot = true;
    for (const auto &[id, entry] : m_registry.entries()) {
        publication.backends.push_back(currentRecord(id, now));
    }
    publication.groups = m_controller.groups();
    return publication;
}

void fleet_pipe::publish(publish_fleet change)
{
    for (const auto &[link, each] : m_gateways) {
        m_out.emplace_back(publish_to_gateway{link, change});
    }
    m_out.emplace_back(mirror_fleet{std::move(change)});
}

void fleet_pipe::stepRegistry(const backend_registry_input &in, const char *reason)
{
    if (!m_leads) {
        return;
    }
    const std::vector<backend_record_changed> changes = m_registry.step(in, m_now);
    if (changes.empty()) {
        return;
    }
    publish_fleet change;
    for (const backend_record_changed &each : changes) {
        change.backends.push_back(currentRecord(each.backend, m_now));
        m_out.emplace_back(log_backend_change{change.backends.back(), reason});
        if (each.crashed) {
            stepCorrelator(backend_crashed{each.backend});
        }
    }
    publish(std::move(change));
    reconcile();
}

void fleet_pipe::stepCorrelator(const crash_correlator_input &in)
{
    for (const crash_correlator::output &each : m_correlator.step(in, m_now)) {
        std::visit([this](const auto &out) { m_out.emplace_back(out); }, each);
    }
}

void fleet_pipe::stepController(const group_controller_input &in)
{
    for (const group_controller::output &each : m_controller.step(in, m_now)) {
        std::visit([this](const auto &out) { forward(out); }, each);
    }
}

void fleet_pipe::reconcile()
{
    if (!m_leads) {
        return;
    }
    m_reconcileDue = m_now + reconcilePeriod;
    // Without the lease another replica may order the same engines, and nothing is decided that would need an order.
    if (m_holdsLease) {
        stepController(reconcile_groups{{m_registry, m_services, m_zonesOut, m_trafficStarted, totalTraffic(), trafficConfidence(), m_capacities}});
    }
}

void fleet_pipe::forward(const engine_order_requested &out)
{
    const backend_registry::entry *entry = m_registry.find(out.backend);
    if (entry != nullptr) {
        m_out.emplace_back(send_engine_order{out.order, out.backend, entry->record.address, out.fence, out.what});
    }
}

void fleet_pipe::forward(const group_changed &out)
{
    m_out.emplace_back(out);
    publish_fleet change;
    change.groups.push_back(out.group);
    publish(std::move(change));
}

void fleet_pipe::forward(const group_retired &out)
{
    m_out.emplace_back(out);
    publish_fleet change;
    change.retiredGroups.push_back({out.epoch});
    publish(std::move(change));
}

void fleet_pipe::forward(const group_records_proposed &out)
{
    m_out.emplace_back(out);
}

void fleet_pipe::forward(const model_assessed &out)
{
    m_out.emplace_back(out);
}

} // namespace carawayloft
