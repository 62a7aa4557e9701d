#include <carawayloft/control/control_pipe.h>

#include <carawayloft/core/overloaded.h>

namespace carawayloft {

/** Period of placement runs. */
static constexpr duration placementPeriod{500};

/** Time that a stopping leader waits for another replica to take over. */
static constexpr duration leadershipTransferTimeout{2'000};

control_pipe::control_pipe(control_pipe_options options, replicated_log log)
    : m_options(options)
    , m_log(std::move(log))
    , m_placer(options.placement)
{
}

result<control_pipe> control_pipe::create(control_pipe_options options, replicated_log log, const log_snapshot &recovered)
{
    control_pipe pipe(options, std::move(log));
    if (recovered.index.value() != 0) {
        const std::optional<state_machine_snapshot> snapshot = options.codec.decodeSnapshot(recovered.state);
        if (!snapshot) {
            return error{error_kind::DiskDamaged,
                         "the snapshot at index " + std::to_string(recovered.index.value()) + " cannot be read",
                         "remove this replica's data folder and start it again; it rejoins with a copy from the others"};
        }
        pipe.m_fleet.restore(snapshot->fleet);
        pipe.m_claims.restore(snapshot->claims);
        pipe.m_appliedIndex = recovered.index;
    }
    return pipe;
}

std::vector<control_pipe::output> control_pipe::step(const input &in, time_point now)
{
    m_now = now;
    m_outputs.clear();
    std::visit([this](const auto &each) { handleInput(each); }, in);
    if (m_stopping && !m_drainedReported && (!isLeader() || m_now >= m_stopDeadline)) {
        m_drainedReported = true;
        emit(control_drained{});
    }
    return std::move(m_outputs);
}

void control_pipe::handleInput(const control_tick &in)
{
    m_wallNow = in.wallNow;
    runLog(log_tick{});
    if (isLeader() && m_now >= m_nextPlacement) {
        m_nextPlacement = m_now + placementPeriod;
        runPlacement();
    }
    compactIfDue();
}

void control_pipe::handleInput(const replica_message &in)
{
    if (in.traffic.to == m_options.self) {
        runLog(log_message_received{in.traffic.from, in.traffic.message});
    }
}

void control_pipe::handleInput(const link_connected &)
{
}

void control_pipe::handleInput(const link_lost &in)
{
    runPublisher(subscriber_left{in.link});
}

void control_pipe::handleInput(const link_message &in)
{
    std::visit([&](const auto &message) { handleLinkMessage(in.link, message); }, in.message);
}

void control_pipe::handleInput(const operator_change &in)
{
    const auto *zone = std::get_if<put_zone>(&in.command.change);
    if (zone != nullptr && zone->zone.state == zone_state::Out && !in.force) {
        if (status left = checkServiceLeft(zone->zone.zone, {}, m_fleet); failed(left)) {
            emit(operator_reply{in.token, errorOf(left), false});
            return;
        }
    }
    propose(in.command, in.token);
}

void control_pipe::handleInput(const operator_intent &in)
{
    const result<plan_record> plan = makePlan(in.intent, m_fleet, m_options.costs, m_wallNow);
    if (failed(plan)) {
        emit(operator_reply{in.token, errorOf(plan), false});
        return;
    }
    propose(fleet_command{in.command, in.author, in.seenRevision, propose_plan{valueOf(plan)}}, in.token);
}

void control_pipe::handleInput(const operator_claim_settlement &in)
{
    close_claim claim = in.claim;
    claim.at = m_wallNow;
    propose(claim, in.token);
}

void control_pipe::handleInput(const operator_read &in)
{
    read(in.token);
}

void control_pipe::handleInput(const member_described &in)
{
    runLog(log_join_request{in.member});
}

void control_pipe::handleInput(const control_stop &)
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopDeadline = m_now + leadershipTransferTimeout;
    runLog(log_leadership_transfer{});
}

void control_pipe::redirect(link_id link)
{
    const log_member *leader = m_log.liveLeader(m_now);
    emit(send_to_link{link, not_leader{leader == nullptr ? endpoint() : leader->frames}});
}

void control_pipe::handleLinkMessage(link_id link, const subscribe &message)
{
    read(subscribe_origin{link, message.from});
}

void control_pipe::handleLinkMessage(link_id link, const confirm_revision &message)
{
    runPublisher(subscriber_confirmed{link, message.at});
}

void control_pipe::handleLinkMessage(link_id link, const lease_renewal &message)
{
    if (!isLeader()) {
        redirect(link);
        return;
    }
    for (const lease_grant &grant : m_leases.step(renewal_received{message, m_fleet, m_log.holdsLeaderLease(m_now)}, m_now)) {
        emit(send_to_link{link, grant});
    }
}

void control_pipe::handleLinkMessage(link_id link, const announce_host &message)
{
    if (!isLeader()) {
        redirect(link);
        return;
    }
    propose(fleet_command{{}, "agent " + message.host.host.value(), {}, put_host{message.host}}, no_origin{});
}

void control_pipe::handleLinkMessage(link_id link, const open_claim_call &message)
{
    open_claim claim = message.claim;
    claim.at = m_wallNow;
    propose(claim, claim_call_origin{link, message.call});
}

void control_pipe::handleLinkMessage(link_id link, const close_claim_call &message)
{
    close_claim claim = message.claim;
    claim.at = m_wallNow;
    claim.settledBy.clear();
    propose(claim, claim_call_origin{link, message.call});
}

void control_pipe::handleLinkMessage(link_id, const join_request &message)
{
    runLog(log_join_request{message.member});
}

void control_pipe::propose(const log_payload &payload, request_origin origin)
{
    const log_request_token token(m_nextToken++);
    m_pendingRequests.emplace(token, origin);
    runLog(log_proposal{token, m_options.codec.encodePayload(payload)});
}

void control_pipe::read(request_origin origin)
{
    const log_request_token token(m_nextToken++);
    m_pendingRequests.emplace(token, origin);
    runLog(log_read_request{token});
}

std::optional<control_pipe::request_origin> control_pipe::takeOrigin(log_request_token token)
{
    const auto found = m_pendingRequests.find(token);
    if (found == m_pendingRequests.end()) {
        return std::nullopt;
    }
    std::optional<request_origin> origin = found->second;
    m_pendingRequests.erase(found);
    return origin;
}

void control_pipe::runPlacement()
{
    const fleet_view view{m_fleet, m_leases};
    m_measures.step(view, m_now);
    // Decisions are based on the applied state, so all earlier ones must be applied or failed first.
    if (m_pendingPlacementChanges > 0 || !m_log.holdsLeaderLease(m_now)) {
        return;
    }
    std::vector<placement_decision> decisions = m_plans.step(view, m_now);
    for (const placer::output &each : m_placer.step(view, m_now)) {
        std::visit(overloaded{
                       [&](const placement_decision &decision) { decisions.push_back(decision); },
                       [&](const hosts_stranded &stranded) { emit(stranded); },
                   },
                   each);
    }
    for (const placement_decision &each : decisions) {
        ++m_pendingPlacementChanges;
        emit(placement_proposed{each});
        propose(fleet_command{{}, "placement", {}, each.change}, placement_origin{});
    }
}

} // namespace carawayloft
