#include "tasks/control_task.h"

#include "codec/operator_codec.h"
#include "codec/text_compression.h"
#include "ends/clock.h"
#include "ends/connection_probe.h"
#include "ends/event_log.h"
#include "tasks/stored_configuration.h"
#include "tasks/task_identity.h"

#include <carawayloft/core/overloaded.h>
#include <carawayloft/fleet/departures.h>

#include <fmt/format.h>

namespace carawayloft {

/** A running backend server accepts a connection within this time, also from another zone. */
static constexpr duration probeTimeout{60};

static constexpr std::uint32_t serviceUnavailable = 503;
static constexpr const char *jsonType = "application/json";

void control_task::runFleet(const fleet_pipe_input &in)
{
    // A replica that cannot write must not direct the fleet; what it hears of the leader's records it must not miss.
    const bool isHarmless = std::holds_alternative<fleet_mirrored>(in) || std::holds_alternative<gateway_lost>(in);
    if (isWaitingForDisk() && !isHarmless) {
        return;
    }
    if (!isWaitingForDisk()) {
        updateLeaderLease();
    }
    stepFleet(in);
}

void control_task::stepFleet(const fleet_pipe_input &in)
{
    for (const fleet_pipe_output &each : m_fleet.step(in, monotonicNow())) {
        std::visit([this](const auto &out) { execute(out); }, each);
    }
}

/** Tells the fleet pipe of the leader lease before each input, so that it orders nothing once the lease has ended. */
void control_task::updateLeaderLease()
{
    const bool holds = m_pipe && m_pipe->log().holdsLeaderLease(monotonicNow());
    if (holds != m_holdsLeaderLease) {
        m_holdsLeaderLease = holds;
        logEvent(event_number::EngineOrdersAllowed, {{"allowed", holds ? 1 : 0}, {"term", m_pipe->log().term()}});
        stepFleet(leader_lease_changed{holds});
    }
}

void control_task::execute(const publish_to_gateway &out)
{
    m_links.send(out.gateway, out.publication);
}

void control_task::execute(const grant_to_gateway &out)
{
    m_links.send(out.gateway, out.grant);
}

void control_task::execute(const mirror_fleet &out)
{
    for (const log_member &each : m_pipe->log().members()) {
        if (each.replica != m_self && each.role != member_role::Retired) {
            m_peers.send(each.frames, out.publication);
        }
    }
}

static std::string describeOrder(const engine_order &order)
{
    return std::visit(overloaded{
                          [](const join_group &each) {
                              std::string members;
                              for (const backend_id &member : each.members) {
                                  members += (members.empty() ? "" : ",") + member.value();
                              }
                              return "join " + std::to_string(each.epoch.value()) + " " + each.model.value() + " " + members;
                          },
                          [](const open_group &each) { return "open " + std::to_string(each.epoch.value()); },
                          [](const close_group &each) { return (each.preempt ? "preempt " : "close ") + std::to_string(each.epoch.value()); },
                          [](const leave_group &each) { return "leave " + std::to_string(each.epoch.value()); },
                          [](const stage_model &each) { return "stage " + each.model.value(); },
                      },
                      order);
}

void control_task::execute(const send_engine_order &out)
{
    static constexpr std::array<const char *, 6> outcomes{"begun", "done", "conflict", "fenced", "wrong backend", "unanswered"};
    const backend_registry::entry *entry = m_fleet.registry().find(out.backend);
    logEvent(event_number::EngineOrdered,
             {{"order", out.order},
              {"backend", out.backend},
              {"what", describeOrder(out.what)},
              {"fence", out.fence},
              {"started_at", entry == nullptr ? 0 : entry->record.startedAt}});
    const auto outcome = std::make_shared<order_outcome>(order_outcome::Unanswered);
    m_engineClient->start(m_frontEnd->encodeOrder(out), [this, outcome, order = out.order, backend = out.backend](const http_event &event) {
        if (const auto *started = std::get_if<http_started>(&event)) {
            *outcome = m_frontEnd->decodeOrderAnswer(started->status);
        }
        if (std::holds_alternative<http_finished>(event) || std::holds_alternative<http_failed>(event)) {
            const auto *failure = std::get_if<http_failed>(&event);
            if (failure != nullptr) {
                m_malformedAnswers.record(*failure, backend.value(), "order " + std::to_string(order.value()));
            }
            logEvent(event_number::EngineOrderAnswered,
                     {{"order", order},
                      {"backend", backend},
                      {"outcome", outcomes[static_cast<std::size_t>(*outcome)]},
                      {"reason", failure == nullptr ? std::string() : failure->why.what}});
            runFleet(order_finished{order, *outcome});
        }
    });
}

void control_task::execute(const probe_backend &out)
{
    probeConnection(m_context, out.address, probeTimeout, [this, out](bool reachable) {
        logEvent(event_number::BackendProbed, {{"backend", out.backend}, {"reachable", reachable ? 1 : 0}});
        runFleet(probe_finished{out.probe, reachable});
    });
}

void control_task::execute(const log_backend_change &out)
{
    static constexpr std::array<const char *, 4> states{"ready", "draining", "left", "lost"};
    static constexpr std::array<const char *, 6> memberships{"none", "joining", "ready", "open", "closing", "broken"};
    logEvent(event_number::BackendNoticed,
             {{"backend", out.record.backend},
              {"state", states[static_cast<std::size_t>(out.record.state)]},
              {"domain", out.record.fabricDomain},
              {"group", out.record.membership.epoch},
              {"membership", memberships[static_cast<std::size_t>(out.record.membership.state)]},
              {"loaded", out.record.loaded},
              {"staged", out.record.staged.empty() ? std::string() : out.record.staged.back().value()},
              {"cold_ms", out.record.coldLeft.count()},
              {"request_limit", std::to_string(out.record.requestLimit)},
              {"started_at", out.record.startedAt},
              {"announcement", out.record.announcement},
              {"reason", out.reason}});
}

void control_task::execute(const group_changed &out)
{
    static constexpr std::array<const char *, 4> phases{"forming", "opening", "open", "closing"};
    logEvent(event_number::EngineGroupChanged,
             {{"group", out.group.epoch},
              {"phase", phases[static_cast<std::size_t>(out.group.phase)]},
              {"model", out.group.model},
              {"head", out.group.head()},
              {"reason", out.reason}});
}

void control_task::execute(const group_retired &out)
{
    logEvent(event_number::EngineGroupRetired, {{"group", out.epoch}, {"reason", out.reason}});
}

void control_task::execute(const group_records_proposed &out)
{
    logEvent(event_number::EngineGroupsProposed, {{"formed", out.formed.size()}, {"retired", out.retired.size()}});
    record_engine_groups change{out.formed, {}};
    for (const group_epoch &each : out.retired) {
        change.retired.push_back({each});
    }
    run(operator_change{operator_request_token(), fleet_command{{}, "group control", {}, std::move(change)}, true});
}

void control_task::execute(const model_assessed &out)
{
    static constexpr double thousand = 1'000.0;
    logEvent(event_number::ModelAssessed,
             {{"model", out.model},
              {"requests_per_second", static_cast<std::uint64_t>(out.requestsPerSecond)},
              {"groups", out.groups},
              {"planned", out.plannedGroups},
              {"on_time_per_thousand", static_cast<std::uint64_t>(thousand * out.onTimeShare)},
              {"observed_on_time_per_thousand", static_cast<std::uint64_t>(thousand * out.observedOnTimeShare)},
              {"capacity_per_thousand", static_cast<std::uint64_t>(thousand * out.capacityFactor)}});
    const std::string label = "model=\"" + out.model.value() + "\"";
    m_metrics.setGauge("carawayloft_model_requests_per_second", label, out.requestsPerSecond);
    m_metrics.setGauge("carawayloft_model_groups", label, static_cast<double>(out.groups));
    m_metrics.setGauge("carawayloft_model_groups_planned", label, static_cast<double>(out.plannedGroups));
    m_metrics.setGauge("carawayloft_model_on_time_expected", label, out.onTimeShare);
    m_metrics.setGauge("carawayloft_model_on_time_observed", label, out.observedOnTimeShare);
    m_metrics.setGauge("carawayloft_model_capacity_factor", label, out.capacityFactor);
}

void control_task::execute(const crash_recorded &out)
{
    logEvent(event_number::CrashRecorded, {{"backend", out.backend}, {"service", out.service}, {"requests", out.requests}});
    m_metrics.count("carawayloft_crashes_total", "service=\"" + out.service.value() + "\"");
}

void control_task::execute(const trait_suspected &out)
{
    logEvent(
        event_number::TraitSuspected, {{"service", out.subject.service}, {"trait", out.subject.trait}, {"crashes", out.crashes}, {"requests", out.requests}});
}

void control_task::execute(const quarantine_proposed &out)
{
    run(operator_change{operator_request_token(), fleet_command{{}, "crash correlator", {}, quarantine_trait{out.quarantine}}, true});
}

void control_task::execute(const quarantine_expired &out)
{
    run(operator_change{operator_request_token(), fleet_command{{}, "quarantine time", {}, release_trait{out.subject}}, true});
}

/** Starts to lead the fleet once the leader lease rules out another leader, and stops when this replica is no longer the log's leader. */
void control_task::updateFleetLeadership()
{
    addLogMembers();
    const bool isLeader = m_pipe->log().role() == log_role::Leader;
    const bool isFleetLeader = isLeader && (m_isFleetLeader || m_pipe->log().holdsLeaderLease(monotonicNow()));
    if (isFleetLeader != m_isFleetLeader) {
        // With the lease, all that earlier leaders committed is applied here; a new leader begins with the groups among it.
        updateFleetConfiguration();
        m_isFleetLeader = isFleetLeader;
        logEvent(event_number::FleetLed, {{"leads", isFleetLeader ? 1 : 0}, {"term", m_pipe->log().term()}});
        runFleet(leadership_changed{isFleetLeader, m_pipe->log().term(), m_pipe->log().precedingTerm()});
    }
}

bool control_task::isActiveFleetLeader() const
{
    return m_isFleetLeader && !m_stopping && !isWaitingForDisk() && m_pipe->log().holdsLeaderLease(monotonicNow());
}

/** Passes changes of services, availability zones, quarantines, departures and recorded engine groups in the replicated state to the fleet pipe. */
void control_task::updateFleetConfiguration()
{
    const fleet_state &state = m_pipe->fleet();
    if (m_frontEnd != nullptr && state.configuration().version != m_configurationVersion) {
        m_configurationVersion = state.configuration().version;
        const result<service_configuration> read = readStoredConfiguration(*m_frontEnd, state.configuration());
        if (failed(read)) {
            logEvent(event_number::ConfigurationUnreadable, {{"version", m_configurationVersion}, {"reason", describe(errorOf(read))}});
        } else {
            reportReplacedFigures(valueOf(read));
            runFleet(services_changed{valueOf(read).services()});
        }
    }
    std::set<availability_zone_id> outOfService;
    for (const auto &[zone, record] : state.zones()) {
        if (!state.acceptsWork(zone)) {
            outOfService.insert(zone);
        }
    }
    if (outOfService != m_zonesOutOfService) {
        m_zonesOutOfService = outOfService;
        runFleet(zones_out_changed{outOfService});
    }
    std::set<service_trait> quarantined;
    for (const auto &[subject, record] : state.quarantine()) {
        quarantined.insert(subject);
    }
    if (quarantined != m_quarantinedTraits) {
        m_quarantinedTraits = quarantined;
        runFleet(quarantined_traits_changed{quarantined});
    }
    const std::deque<departure_record> &departures = state.departures();
    if (!std::equal(departures.begin(), departures.end(), m_departures.begin(), m_departures.end())) {
        m_departures.assign(departures.begin(), departures.end());
        runFleet(departures_changed{m_departures});
    }
    if (m_engineGroupsRevision != state.engineGroupsChangedAt()) {
        m_engineGroupsRevision = state.engineGroupsChangedAt();
        engine_groups_changed changed;
        for (const auto &[epoch, record] : state.engineGroups()) {
            changed.groups.push_back(record);
        }
        runFleet(changed);
    }
}

void control_task::reportReplacedFigures(const service_configuration &configuration)
{
    for (const replaced_figure &each : configuration.replacedFigures()) {
        logEvent(event_number::FigureReplaced,
                 {{"version", configuration.version()},
                  {"service", each.service},
                  {"field", each.field},
                  {"stated", fmt::format("{:g}", each.stated)},
                  {"used", fmt::format("{:g}", each.used)}});
    }
    m_metrics.setGauge("carawayloft_replaced_figures", {}, static_cast<double>(configuration.replacedFigures().size()));
}

std::vector<endpoint> control_task::replicaFrameEndpoints() const
{
    std::vector<endpoint> frames;
    for (const log_member &each : m_pipe->log().members()) {
        if (each.role != member_role::Retired) {
            frames.push_back(each.frames);
        }
    }
    return frames;
}

void control_task::handleGatewayReport(link_id gateway, const gateway_report &report)
{
    if (isActiveFleetLeader()) {
        runFleet(gateway_reported{gateway, report, m_publishedRevision, replicaFrameEndpoints()});
        return;
    }
    const log_member *leader = m_pipe->log().liveLeader(monotonicNow());
    const bool isOtherReplica = leader != nullptr && leader->replica != m_self;
    m_links.send(gateway, not_leader{isOtherReplica ? leader->frames : endpoint()});
}

/** What an operator asked for, for the log; empty for requests that are not logged. */
static std::string subjectOf(const configuration_change &request)
{
    return "configuration " + std::to_string(request.configuration.version.value());
}

static std::string subjectOf(const zone_change &request)
{
    return "availability zone " + request.zone.zone.value();
}

static std::string subjectOf(const auto &)
{
    return {};
}

bool control_task::serveFrontEnd(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    const result<std::optional<control_request>> decoded = m_frontEnd->decodeControlRequest(request);
    if (failed(decoded)) {
        logEvent(event_number::RequestRejected, {{"path", request.path}, {"reason", describe(errorOf(decoded))}});
        respondError(*exchange, errorOf(decoded));
        return true;
    }
    if (!valueOf(decoded)) {
        return false;
    }
    if (!m_pipe || m_pipe->log().role() != log_role::Leader) {
        const std::string subject = std::visit([](const auto &each) { return subjectOf(each); }, *valueOf(decoded));
        const std::uint32_t status = redirectToLeader(request, *exchange);
        if (!subject.empty()) {
            logEvent(event_number::OperatorRequestAnswered, {{"subject", subject}, {"status", status}, {"reason", "not the leader"}, {"after_ms", 0}});
        }
    } else {
        std::visit([&](const auto &each) { serveControlRequest(each, exchange); }, *valueOf(decoded));
    }
    return true;
}

void control_task::serveControlRequest(const configuration_change &request, const std::shared_ptr<http_exchange> &exchange)
{
    const operator_request_token token = addWaitingRequest(
        exchange,
        [](revision at) {
            return http_response{200, {{"Content-Type", jsonType}}, encodeAccepted(at)};
        },
        subjectOf(request));
    if (request.configuration.version <= m_pipe->fleet().configuration().version) {
        // An equal or newer version is in force already; a read confirms that this replica is still the leader before it says so.
        run(operator_read{token});
    } else if (request.objection) {
        execute(operator_reply{token, *request.objection});
    } else {
        configuration_record stored = request.configuration;
        stored.document = compressText(stored.document);
        run(operator_change{token, fleet_command{{}, "operator", {}, put_configuration{std::move(stored)}}});
    }
}

void control_task::serveControlRequest(const configuration_query &, const std::shared_ptr<http_exchange> &exchange)
{
    run(operator_read{addWaitingRequest(exchange, [this](revision) {
        const configuration_record &current = m_pipe->fleet().configuration();
        const result<std::string> document = storedDocument(current);
        return current.version.value() == 0 || failed(document) ? http_response{serviceUnavailable, {}, {}}
                                                                : http_response{200, {{"Content-Type", jsonType}}, valueOf(document)};
    })});
}

void control_task::serveControlRequest(const zone_change &request, const std::shared_ptr<http_exchange> &exchange)
{
    // Installations with a front end have no agents that announce zones, and a zone must exist before it can be taken out of service.
    if (!m_pipe->fleet().zones().contains(request.zone.zone)) {
        run(operator_change{operator_request_token(), fleet_command{{}, "operator", {}, put_zone{{request.zone.zone, zone_state::Serving}}}, true});
    }
    const operator_request_token token = addWaitingRequest(
        exchange,
        [](revision at) {
            return http_response{200, {{"Content-Type", jsonType}}, encodeAccepted(at)};
        },
        subjectOf(request));
    run(operator_change{token, fleet_command{{}, "operator", {}, put_zone{request.zone}}, true});
}

void control_task::serveControlRequest(const backend_check_in &request, const std::shared_ptr<http_exchange> &exchange)
{
    if (!isActiveFleetLeader()) {
        exchange->respond({serviceUnavailable, {}, {}});
        return;
    }
    runFleet(check_in_received{request});
    const http_response accepted = m_frontEnd->encodeCheckInAccepted({m_settings.replica->http});
    if (const std::optional<departure_record> departure = announcedDeparture(request)) {
        confirmDeparture(*departure, accepted, exchange);
    } else {
        exchange->respond(accepted);
    }
}

void control_task::serveControlRequest(const backend_departure &request, const std::shared_ptr<http_exchange> &exchange)
{
    if (!isActiveFleetLeader()) {
        exchange->respond({serviceUnavailable, {}, {}});
        return;
    }
    const departure_record departure = announcedDeparture(request, m_fleet.registry(), wallNow());
    runFleet(departure_received{request});
    confirmDeparture(departure, {200, {}, {}}, exchange);
}

/** Responds once the departure is in the replicated log, so that no later leader takes the server for a ready one. */
void control_task::confirmDeparture(const departure_record &departure, const http_response &response, const std::shared_ptr<http_exchange> &exchange)
{
    if (m_pipe->fleet().hasDeparted(departure)) {
        exchange->respond(response);
        return;
    }
    const operator_request_token token = addWaitingRequest(exchange, [response](revision) { return response; });
    run(operator_change{token, fleet_command{{}, "backend server", {}, record_departure{departure}}, true});
}

} // namespace carawayloft
