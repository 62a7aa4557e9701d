#include <carawayloft/control/control_pipe.h>

#include <carawayloft/core/overloaded.h>

namespace carawayloft {

static error notLeaderError()
{
    return {error_kind::NotLeader, "this control replica is not the leader", "retry the command; the command-line tool finds the leader"};
}

void control_pipe::runLog(const replicated_log_input &in)
{
    for (const replicated_log_output &each : m_log.step(in, m_now)) {
        std::visit([this](const auto &out) { handleLogOutput(out); }, each);
    }
}

void control_pipe::handleLogOutput(const send_log_message &out)
{
    emit(send_to_replica{{log_id(), m_options.self, out.to, out.message}});
}

void control_pipe::handleLogOutput(const entry_committed &out)
{
    m_appliedIndex = out.entry.index;
    m_payloadBytesSinceSnapshot += out.entry.payload.size();
    if (out.entry.kind == entry_kind::Membership) {
        emit(members_changed{out.entry.members});
    }
    if (out.entry.kind != entry_kind::Command) {
        return;
    }
    const std::optional<request_origin> origin = takeOrigin(out.token);
    const std::optional<log_payload> payload = m_options.codec.decodePayload(out.entry.payload);
    if (!payload) {
        return;
    }
    std::visit([&](const auto &command) { apply(command, out.entry.index, origin); }, *payload);
}

void control_pipe::handleLogOutput(const snapshot_installed &out)
{
    m_appliedIndex = out.snapshot.index;
    if (const std::optional<state_machine_snapshot> snapshot = m_options.codec.decodeSnapshot(out.snapshot.state)) {
        m_fleet.restore(snapshot->fleet);
        m_claims.restore(snapshot->claims);
    }
}

void control_pipe::handleLogOutput(const read_ready &out)
{
    const std::optional<request_origin> origin = takeOrigin(out.token);
    if (!origin) {
        return;
    }
    std::visit(overloaded{
                   [&](const subscribe_origin &start) {
                       runPublisher(subscriber_joined{start.link, start.from, m_fleet});
                   },
                   [&](const operator_request_token &token) {
                       emit(operator_reply{token, m_fleet.at(), false});
                   },
                   [](const auto &) {},
               },
               *origin);
}

void control_pipe::handleLogOutput(const log_request_failed &out)
{
    const std::optional<request_origin> origin = takeOrigin(out.token);
    if (!origin) {
        return;
    }
    std::visit(overloaded{
                   [](const no_origin &) {},
                   [&](const placement_origin &) { m_pendingPlacementChanges -= m_pendingPlacementChanges > 0 ? 1 : 0; },
                   [&](const claim_call_origin &caller) {
                       emit(send_to_link{caller.link, claim_call_reply{caller.call, false, {}}});
                       redirect(caller.link);
                   },
                   [&](const subscribe_origin &start) { redirect(start.link); },
                   [&](const operator_request_token &token) {
                       emit(operator_reply{token, notLeaderError(), out.mayCommit});
                   },
               },
               *origin);
}

void control_pipe::handleLogOutput(const role_changed &out)
{
    emit(out);
    m_pendingPlacementChanges = 0;
    if (out.role == log_role::Leader) {
        m_leases.step(leadership_acquired{}, m_now);
        m_measures = availability_meter();
    } else {
        runPublisher(leadership_lost{});
    }
}

void control_pipe::apply(const fleet_command &command, log_index at, const std::optional<request_origin> &origin)
{
    const revision before = m_fleet.at();
    const revision now(at.value());
    const result<revision> outcome = m_fleet.apply(command, now);
    emit(change_applied{now, command, outcome});
    runPublisher(change_committed{publish_change{before, now, command}});
    if (!origin) {
        return;
    }
    if (const auto *token = std::get_if<operator_request_token>(&*origin)) {
        emit(operator_reply{*token, outcome, false});
    } else if (std::holds_alternative<placement_origin>(*origin)) {
        m_pendingPlacementChanges -= m_pendingPlacementChanges > 0 ? 1 : 0;
    }
}

void control_pipe::apply(const open_claim &claim, log_index, const std::optional<request_origin> &origin)
{
    replyToClaimCall(origin, m_claims.apply(claim));
}

void control_pipe::apply(const close_claim &claim, log_index at, const std::optional<request_origin> &origin)
{
    const claim_reply reply = m_claims.apply(claim);
    const auto *token = origin ? std::get_if<operator_request_token>(&*origin) : nullptr;
    if (token == nullptr) {
        replyToClaimCall(origin, reply);
    } else if (reply.verdict == claim_verdict::Closed) {
        emit(operator_reply{*token, revision(at.value()), false});
    } else {
        emit(operator_reply{
            *token,
            error{error_kind::UnknownClaim, "there is no such claim with an unknown outcome", "list these claims with 'carawayloft claims list'"},
            false});
    }
}

void control_pipe::replyToClaimCall(const std::optional<request_origin> &origin, const claim_reply &reply)
{
    if (!origin) {
        return;
    }
    if (const auto *caller = std::get_if<claim_call_origin>(&*origin)) {
        emit(send_to_link{caller->link, claim_call_reply{caller->call, true, reply}});
    }
}

void control_pipe::runPublisher(const publisher_input &in)
{
    for (const publisher_output &each : m_publisher.step(in, m_now)) {
        std::visit(overloaded{
                       [&](const send_publication &out) {
                           std::visit([&](const auto &message) { emit(send_to_link{out.link, message}); }, out.message);
                       },
                       [&](const publication_complete &out) {
                           emit(change_in_force{out.at, out.after, out.subscribers});
                       },
                   },
                   each);
    }
}

void control_pipe::compactIfDue()
{
    const bool manyEntries = m_appliedIndex.value() >= m_log.snapshotIndex().value() + m_options.entriesToCompact;
    if (!manyEntries && m_payloadBytesSinceSnapshot < m_options.bytesToCompact) {
        return;
    }
    m_payloadBytesSinceSnapshot = 0;
    std::vector<std::uint8_t> state = m_options.codec.encodeSnapshot({m_fleet.snapshot(), m_claims.snapshot()});
    const std::size_t size = state.size();
    runLog(log_compact{m_appliedIndex, std::move(state)});
    emit(log_compacted{m_appliedIndex, size});
}

} // namespace carawayloft
