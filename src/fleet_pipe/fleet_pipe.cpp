#include <carawayloft/fleet/fleet_pipe.h>

#include <algorithm>

namespace carawayloft {

/** Time between two looks at the groups when nothing happens. */
static constexpr duration lookPeriod{100};

/** A gateway's right to serve, from its report on. Well under the time in which a withdrawn key must stop working. */
static constexpr duration gatewayLease{3'000};

/** A gateway that was here within this time may have used its part of the shared limits. */
static constexpr duration sharedLimitWindow{10'000};

/** Silence of a backend server after which it is tested: two announcements and some delay. */
static constexpr duration announcementSilence{2'700};

/** Silence after which a backend server counts as lost even if connections to it come about. */
static constexpr duration longSilence{9'000};

/** Time for which a server that is gone is remembered. */
static constexpr duration goneTime{120'000};

/** Time from the first request on, or from the lead's change, after which gateways' averages stand for what callers ask. */
static constexpr std::chrono::duration<double> askedSettleTime{9.0};

/** Time between two tests of one backend server. */
static constexpr duration probePeriod{700};

/** Time for which a failed test counts. */
static constexpr duration evidenceTime{1'500};

std::vector<fleet_pipe::output> fleet_pipe::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    std::visit([this](const auto &each) { take(each); }, in);
    return std::move(m_out);
}

void fleet_pipe::take(const fleet_tick &)
{
    if (!m_leads || m_now < m_lookDue) {
        return;
    }
    findSilent();
    forgetGone();
    look();
}

void fleet_pipe::take(const leadership_changed &in)
{
    if (m_leads == in.leads && m_term == in.term) {
        return;
    }
    m_term = in.term;
    if (m_leads && !in.leads) {
        m_mirror.apply(snapshot(m_now), m_now);
        runKeeper(group_control_ended{});
        m_gateways.clear();
        m_probes.clear();
        m_probed.clear();
    }
    m_leads = in.leads;
    if (!m_leads) {
        return;
    }
    m_leadsSince = m_now;
    m_registry = backend_registry();
    const publish_fleet inherited = m_mirror.snapshot(m_now);
    for (const backend_record &each : inherited.backends) {
        m_registry.step(mirrored_backend_record{each}, m_now);
    }
    m_traffic = m_traffic || !inherited.groups.empty();
    runKeeper(group_control_began{m_term, inherited.groups});
    m_out.emplace_back(mirror_fleet{snapshot(m_now)});
    look();
}

void fleet_pipe::take(const services_changed &in)
{
    m_services = in.services;
    look();
}

void fleet_pipe::take(const zones_out_changed &in)
{
    m_zonesOut = in.zones;
    look();
}

void fleet_pipe::take(const check_in_received &in)
{
    const bool known
        = std::any_of(m_services.begin(), m_services.end(), [&](const service_settings &each) { return each.service == in.announcement.record.service; });
    if (known || m_services.empty()) {
        runRegistry(in.announcement, "announced itself");
    }
}

void fleet_pipe::take(const departure_received &in)
{
    runRegistry(in.departure, "said that it is gone");
}

void fleet_pipe::take(const fleet_mirrored &in)
{
    if (!m_leads) {
        m_mirror.apply(in.publication, m_now);
    }
}

void fleet_pipe::take(const order_finished &in)
{
    runKeeper(in);
    look();
}

void fleet_pipe::take(const gateway_lost &in)
{
    if (m_gateways.erase(in.gateway) > 0) {
        m_gatewaysLost.push_back(m_now);
    }
}

std::uint32_t fleet_pipe::countGateways()
{
    while (!m_gatewaysLost.empty() && m_now >= m_gatewaysLost.front() + sharedLimitWindow) {
        m_gatewaysLost.pop_front();
    }
    return static_cast<std::uint32_t>(m_gateways.size() + m_gatewaysLost.size());
}

void fleet_pipe::take(const gateway_reported &in)
{
    if (!m_leads) {
        return;
    }
    const auto [found, isNew] = m_gateways.try_emplace(in.gateway);
    found->second.heardAt = m_now;
    found->second.loads = in.report.loads;
    found->second.asked = in.report.asked;
    found->second.unreachable = {in.report.unreachable.begin(), in.report.unreachable.end()};
    const bool serves = std::any_of(in.report.loads.begin(), in.report.loads.end(), [](const group_load &each) { return each.running > 0; });
    if (serves && !m_traffic) {
        m_traffic = true;
        m_trafficSince = m_now;
    }
    if (isNew) {
        m_out.emplace_back(publish_to_gateway{in.gateway, snapshot(m_now)});
    }
    gateway_grant grant{in.report.round, in.at, gatewayLease, countGateways(), {}, in.replicas};
    std::map<group_epoch, group_load> others;
    for (const auto &[link, each] : m_gateways) {
        if (link == in.gateway) {
            continue;
        }
        for (const group_load &load : each.loads) {
            group_load &sum = others[load.epoch];
            sum.epoch = load.epoch;
            sum.running += load.running;
            sum.prefillTokens += load.prefillTokens;
            sum.progressing = sum.progressing || load.progressing;
            sum.tokensPerSecond += load.tokensPerSecond;
        }
    }
    for (const auto &[epoch, load] : others) {
        grant.others.push_back(load);
    }
    m_out.emplace_back(grant_to_gateway{in.gateway, std::move(grant)});
    for (const backend_id &each : in.report.unreachable) {
        reportedUnreachable(each);
    }
}

/** Tests whether a backend server can be reached from here, unless that was done a moment ago. */
void fleet_pipe::startProbe(const backend_id &backend)
{
    const backend_registry::entry *entry = m_registry.find(backend);
    if (entry == nullptr || entry->record.state == backend_state::Left || entry->record.state == backend_state::Lost) {
        return;
    }
    const auto [last, isNew] = m_probed.try_emplace(backend, probe_record{m_now, std::nullopt});
    if (!isNew && m_now < last->second.startedAt + probePeriod) {
        return;
    }
    last->second.startedAt = m_now;
    m_lastProbe = next(m_lastProbe);
    m_probes[m_lastProbe] = backend;
    m_out.emplace_back(probe_backend{m_lastProbe, backend, entry->record.address});
}

/** A gateway cannot reach the backend server: together with a test from here that tells whether it is dead. */
void fleet_pipe::reportedUnreachable(const backend_id &backend)
{
    const auto probed = m_probed.find(backend);
    if (probed != m_probed.end() && probed->second.failedAt && m_now < *probed->second.failedAt + evidenceTime) {
        judge(backend);
    } else {
        startProbe(backend);
    }
}

/** Whether gateways see work go on in the group of @p member, so that the member must be alive. */
bool fleet_pipe::groupProgresses(const backend_id &member) const
{
    for (const engine_group &group : m_keeper.groups()) {
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

/** Whether a gateway reports that it cannot reach the backend server. */
bool fleet_pipe::anyoneMisses(const backend_id &backend) const
{
    return std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto &each) { return each.second.unreachable.contains(backend); });
}

/** Whether no gateway with work at the group that @p backend heads still reaches it. */
bool fleet_pipe::everyoneMisses(const backend_id &backend) const
{
    for (const engine_group &group : m_keeper.groups()) {
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

/** Decides on a backend server that cannot be reached from here. */
void fleet_pipe::judge(const backend_id &backend)
{
    const bool confirmed = anyoneMisses(backend) && everyoneMisses(backend);
    if (!confirmed && groupProgresses(backend)) {
        return;
    }
    runRegistry(backend_failure{backend, confirmed}, confirmed ? "nobody reaches it" : "cannot be reached from here");
}

void fleet_pipe::findSilent()
{
    std::vector<backend_id> silent;
    for (const auto &[id, entry] : m_registry.entries()) {
        const bool present = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const time_point heardAt = std::max(entry.heardAt, m_leadsSince);
        if (present && m_now >= heardAt + announcementSilence) {
            silent.push_back(id);
        }
    }
    for (const backend_id &each : silent) {
        const time_point heardAt = std::max(m_registry.find(each)->heardAt, m_leadsSince);
        if (m_now >= heardAt + longSilence && !groupProgresses(each)) {
            runRegistry(backend_failure{each, false}, "announces itself no more");
        } else {
            startProbe(each);
        }
    }
}

/** Records of servers that left are kept only as long as a late announcement of theirs may come. */
void fleet_pipe::forgetGone()
{
    publish_fleet change;
    for (const auto &[id, entry] : m_registry.entries()) {
        const bool gone = entry.record.state == backend_state::Left || entry.record.state == backend_state::Lost;
        if (gone && m_now >= std::max(entry.lostAt, entry.heardAt) + goneTime) {
            change.gone.push_back({id});
        }
    }
    for (const retired_backend &each : change.gone) {
        m_registry.step(backend_record_expired{each.backend}, m_now);
        m_probed.erase(each.backend);
    }
    if (!change.empty()) {
        publish(std::move(change));
    }
}

void fleet_pipe::take(const probe_finished &in)
{
    const auto found = m_probes.find(in.probe);
    if (found == m_probes.end()) {
        return;
    }
    const backend_id backend = found->second;
    m_probes.erase(found);
    probe_record &record = m_probed[backend];
    record.failedAt = in.reachable ? std::nullopt : std::optional(m_now);
    if (!in.reachable) {
        judge(backend);
    }
}

backend_record fleet_pipe::current(const backend_id &backend, time_point now) const
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
        publication.backends.push_back(current(id, now));
    }
    publication.groups = m_keeper.groups();
    return publication;
}

void fleet_pipe::publish(publish_fleet change)
{
    for (const auto &[link, each] : m_gateways) {
        m_out.emplace_back(publish_to_gateway{link, change});
    }
    m_out.emplace_back(mirror_fleet{std::move(change)});
}

void fleet_pipe::runRegistry(const backend_registry_input &in, const char *reason)
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
        change.backends.push_back(current(each.backend, m_now));
        m_out.emplace_back(log_backend_change{change.backends.back(), reason});
    }
    publish(std::move(change));
    look();
}

void fleet_pipe::runKeeper(const group_controller_input &in)
{
    for (const group_controller::output &each : m_keeper.step(in, m_now)) {
        std::visit([this](const auto &out) { handle(out); }, each);
    }
}

void fleet_pipe::look()
{
    if (m_leads) {
        m_lookDue = m_now + lookPeriod;
        runKeeper(reconcile_groups{{m_registry, m_services, m_zonesOut, m_traffic, asked(), askedKnown()}});
    }
}

/** How far the reports of gateways cover the time over which they average what callers ask. */
double fleet_pipe::askedKnown() const
{
    if (!m_traffic || m_gateways.empty()) {
        return 0.0;
    }
    return std::min(1.0, std::chrono::duration<double>(m_now - m_trafficSince) / askedSettleTime);
}

/** What the callers of all gateways ask. */
fleet_traffic fleet_pipe::asked() const
{
    fleet_traffic sums;
    for (const auto &[link, each] : m_gateways) {
        for (const model_traffic &part : each.asked) {
            model_traffic &sum = sums[part.model];
            const double rate = sum.requestsPerSecond + part.requestsPerSecond;
            const double weight = rate > 0.0 ? part.requestsPerSecond / rate : 0.0;
            sum.model = part.model;
            sum.promptTokens += weight * (part.promptTokens - sum.promptTokens);
            sum.answerTokens += weight * (part.answerTokens - sum.answerTokens);
            sum.objective += weight * (part.objective - sum.objective);
            sum.requestsPerSecond = rate;
        }
    }
    return sums;
}

void fleet_pipe::handle(const engine_order_requested &out)
{
    const backend_registry::entry *entry = m_registry.find(out.backend);
    if (entry != nullptr) {
        m_out.emplace_back(send_engine_order{out.order, out.backend, entry->record.address, m_term, out.what});
    }
}

void fleet_pipe::handle(const group_changed &out)
{
    m_out.emplace_back(out);
    publish_fleet change;
    change.groups.push_back(out.group);
    publish(std::move(change));
}

void fleet_pipe::handle(const group_retired &out)
{
    m_out.emplace_back(out);
    publish_fleet change;
    change.retiredGroups.push_back({out.epoch});
    publish(std::move(change));
}

} // namespace carawayloft
