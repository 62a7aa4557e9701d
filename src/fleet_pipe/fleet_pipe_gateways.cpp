#include <carawayloft/fleet/fleet_pipe.h>

#include <carawayloft/fleet/class_demand_sum.h>
#include <carawayloft/fleet/group_goodput.h>

#include <algorithm>

// What gateways report, and what they are granted.

namespace carawayloft {

/** Serving lease of a gateway, counted from its report. Well below the time within which a revoked key must stop working. */
static constexpr duration gatewayLease{3'000};

/** A gateway that disconnected within this time still counts, since it may have used its part of the shared limits. */
static constexpr duration sharedLimitWindow{10'000};

/**
 * Time for which a sum of the demand by rank and account is used again. Every gateway reports four times a second, and
 * with hundreds of gateways a sum has tens of thousands of entries.
 */
static constexpr duration maxClassDemandAge{100};
/** Time between two looks at the outcomes that gateways report. */
static constexpr duration capacityLearningPeriod{250};

/** Time after a change of leader in which the gateways have sent it their first reports. */
static constexpr duration capacityAdoptionTime{2'000};

/** Time from the first known traffic until the gateways' averages represent the full demand. */
static constexpr std::chrono::duration<double> trafficAveragingTime{9.0};

void fleet_pipe::handle(const gateway_lost &in)
{
    if (const auto found = m_gateways.find(in.gateway); found != m_gateways.end()) {
        m_turns.erase(found->second.turn);
        m_gateways.erase(found);
        m_gatewaysLost.push_back(m_now);
    }
}

/** Takes the lowest free place, so that no other gateway's turns move. */
std::uint32_t fleet_pipe::takeTurn()
{
    std::uint32_t place = 0;
    for (auto each = m_turns.begin(); each != m_turns.end() && *each == place; ++each) {
        ++place;
    }
    m_turns.insert(place);
    return place;
}

std::uint32_t fleet_pipe::countRecentGateways()
{
    while (!m_gatewaysLost.empty() && m_now >= m_gatewaysLost.front() + sharedLimitWindow) {
        m_gatewaysLost.pop_front();
    }
    return static_cast<std::uint32_t>(m_gateways.size() + m_gatewaysLost.size());
}

void fleet_pipe::handle(const gateway_reported &in)
{
    if (!m_leads) {
        return;
    }
    const auto [found, isNew] = m_gateways.try_emplace(in.gateway);
    found->second.heardAt = m_now;
    found->second.loads = in.report.loads;
    found->second.modelTraffic = in.report.modelTraffic;
    found->second.classDemand = in.report.classDemand;
    found->second.answering = {in.report.answering.begin(), in.report.answering.end()};
    found->second.unreachable = {in.report.unreachable.begin(), in.report.unreachable.end()};
    const bool serves = std::any_of(in.report.loads.begin(), in.report.loads.end(), [](const group_load &each) { return each.running > 0; });
    if (serves && !m_trafficStarted) {
        m_trafficStarted = true;
        m_trafficStartedAt = m_now;
    }
    if (isNew) {
        found->second.turn = takeTurn();
        m_out.emplace_back(publish_to_gateway{in.gateway, snapshot(m_now)});
    }
    correlateCrashes(in.report);
    for (const request_limit_report &each : in.report.requestLimits) {
        stepRegistry(request_limit_named{each.backend, each.requestsPerSecond, m_now - std::max(each.age, duration(0))}, "request limit named");
    }
    for (const leaving_backend &each : in.report.leaving) {
        stepRegistry(backend_leaving{each.backend, each.startedAt}, "server said in an answer that it leaves");
    }
    if (isNew) {
        adoptCapacities(in.report.capacities); // Later reports carry what this leader granted.
    }
    learnCapacities();
    gateway_grant grant{in.report.round, in.at, gatewayLease, countRecentGateways(), {}, in.replicas, {}, m_correlator.suspects(), sharesOf(in.gateway)};
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
    for (const auto &[model, demand] : totalTraffic()) {
        grant.modelTraffic.push_back(demand);
    }
    grant.classDemand = totalClassDemand();
    grant.capacities = capacities();
    grant.turn = found->second.turn;
    grant.turns = *m_turns.rbegin() + 1;
    grant.turnClockMs = static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(m_now.time_since_epoch()).count());
    m_out.emplace_back(grant_to_gateway{in.gateway, std::move(grant)});
    for (const backend_id &each : in.report.unreachable) {
        handleUnreachableReport(each);
    }
}

std::vector<request_share> fleet_pipe::sharesOf(link_id gateway)
{
    std::set<link_id> gateways;
    for (const auto &[link, each] : m_gateways) {
        gateways.insert(link);
    }
    m_requestShares.update(m_registry, gateways, m_now);
    return m_requestShares.sharesOf(gateway);
}

/** Whether the server has ended unannounced, as far as the registry still knows. */
bool fleet_pipe::isKnownToHaveCrashed(const backend_id &backend) const
{
    const backend_registry::entry *entry = m_registry.find(backend);
    return entry != nullptr && entry->confirmedDown && entry->record.state == backend_state::Lost;
}

void fleet_pipe::correlateCrashes(const gateway_report &report)
{
    if (report.exposures.empty() && report.survivals.empty()) {
        return;
    }
    for (const crash_exposure &each : report.exposures) {
        if (isKnownToHaveCrashed(each.backend)) {
            stepCorrelator(backend_crashed{each.backend});
        }
    }
    stepCorrelator(crash_evidence{report.exposures, report.survivals});
}

/** Fraction of the averaging time that the reports of gateways cover. */
double fleet_pipe::trafficConfidence() const
{
    if (!m_trafficStarted || m_gateways.empty()) {
        return 0.0;
    }
    return std::min(1.0, std::chrono::duration<double>(m_now - m_trafficStartedAt) / trafficAveragingTime);
}

/** Demand at all gateways by model, rank and account. */
const std::vector<class_demand> &fleet_pipe::totalClassDemand()
{
    if (m_classDemandAt && m_now < *m_classDemandAt + maxClassDemandAge) {
        return m_classDemand;
    }
    class_demand_sum sum;
    for (const auto &[link, each] : m_gateways) {
        for (const class_demand &part : each.classDemand) {
            sum.add(part);
        }
    }
    m_classDemand = sum.entries();
    m_classDemandAt = m_now;
    return m_classDemand;
}

/** Demand at all gateways: summed request rates, and averages weighted by them. */
fleet_traffic fleet_pipe::totalTraffic() const
{
    fleet_traffic sums;
    for (const auto &[link, each] : m_gateways) {
        for (const model_traffic &part : each.modelTraffic) {
            addTraffic(sums, part);
        }
    }
    return sums;
}

bool fleet_pipe::hasModel(const model_id &model) const
{
    return std::any_of(m_services.begin(), m_services.end(), [&](const service_settings &service) {
        return service.engine
               && std::any_of(service.engine->models.begin(), service.engine->models.end(), [&](const model_profile &each) { return each.model == model; });
    });
}

/** Goes on from what gateways were granted by the leader before: the first factor that is reported for a model soon after the change. */
void fleet_pipe::adoptCapacities(const std::vector<model_capacity> &capacities)
{
    if (m_now >= m_leadsSince + capacityAdoptionTime) {
        return;
    }
    for (const model_capacity &each : capacities) {
        if (hasModel(each.model) && m_adoptedCapacities.insert(each.model).second) {
            m_capacities.insert_or_assign(each.model, capacity_estimate(each.factor));
        }
    }
}

/** Learns from the answers that all gateways reported how much the groups of each model take. */
void fleet_pipe::learnCapacities()
{
    if (m_now < m_capacitiesLearnedAt + capacityLearningPeriod) {
        return;
    }
    m_capacitiesLearnedAt = m_now;
    const fleet_traffic traffic = totalTraffic();
    for (const service_settings &service : m_services) {
        if (!service.engine) {
            continue;
        }
        for (const model_profile &model : service.engine->models) {
            m_capacities[model.model].record(observeModel(*service.engine, model, traffic), m_now);
        }
    }
}

capacity_observation fleet_pipe::observeModel(const engine_profile &engine, const model_profile &model, const fleet_traffic &traffic) const
{
    capacity_observation seen;
    std::map<group_epoch, group_outcome> outcomes;
    for (const engine_group &each : m_controller.groups()) {
        if (each.model == model.model && each.phase == group_phase::Open) {
            outcomes[each.epoch] = {};
        }
    }
    for (const auto &[link, gateway] : m_gateways) {
        for (const group_load &load : gateway.loads) {
            if (const auto found = outcomes.find(load.epoch); found != outcomes.end()) {
                found->second.answered += load.answered;
                found->second.late += load.late;
            }
        }
    }
    seen.groups.reserve(outcomes.size());
    for (const auto &[epoch, outcome] : outcomes) {
        seen.groups.push_back(outcome);
    }
    const auto demand = traffic.find(model.model);
    if (demand != traffic.end()) {
        seen.demand = demand->second.recentRequestsPerSecond + demand->second.returningPerSecond;
        seen.publishedCapacity = static_cast<double>(outcomes.size()) * group_goodput(engine, model, demand->second).peakRate();
    }
    return seen;
}

std::vector<model_capacity> fleet_pipe::capacities() const
{
    std::vector<model_capacity> out;
    out.reserve(m_capacities.size());
    for (const auto &[model, estimate] : m_capacities) {
        out.push_back({model, estimate.factor()});
    }
    return out;
}

} // namespace carawayloft
