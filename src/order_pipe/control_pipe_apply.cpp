#include <carawayloft/order/control_pipe.h>

#include <carawayloft/core/overloaded.h>

namespace carawayloft {

static error notLeading()
{
    return {error_kind::NotLeader, "this control replica does not lead", "send the command again; the tool finds the leader"};
}

void control_pipe::runLog(const replicated_log_input &in)
{
    for (const replicated_log_output &each : m_log.step(in, m_now)) {
        std::visit([this](const auto &out) { handle(out); }, each);
    }
}

void control_pipe::handle(const send_log_message &out)
{
    emit(send_to_replica{{log_id(), m_options.self, out.to, out.message}});
}

void control_pipe::handle(const entry_committed &out)
{
    m_applied = out.entry.index;
    m_bytesApplied += out.entry.payload.size();
    if (out.entry.kind != entry_kind::Command) {
        return;
    }
    const std::optional<waiter> who = takeWaiter(out.token);
    const std::optional<log_payload> payload = m_options.codec.decodePayload(out.entry.payload);
    if (!payload) {
        return;
    }
    std::visit([&](const auto &command) { apply(command, out.entry.index, who); }, *payload);
}

void control_pipe::handle(const snapshot_installed &out)
{
    m_applied = out.snapshot.index;
    if (const std::optional<state_machine_snapshot> snapshot = m_options.codec.decodeSnapshot(out.snapshot.state)) {
        m_fleet.restore(snapshot->fleet);
        m_claims.restore(snapshot->claims);
    }
}

void control_pipe::handle(const read_ready &out)
{
    const std::optional<waiter> who = takeWaiter(out.token);
    if (!who) {
        return;
    }
    std::visit(overloaded{
                   [&](const subscriber_start &start) {
                       runPublisher(subscriber_joined{start.link, start.from, m_fleet});
                   },
                   [&](const operator_request_token &token) {
                       emit(operator_reply{token, m_fleet.at(), false});
                   },
                   [](const auto &) {},
               },
               *who);
}

void control_pipe::handle(const log_request_failed &out)
{
    const std::optional<waiter> who = takeWaiter(out.token);
    if (!who) {
        return;
    }
    std::visit(overloaded{
                   [](const nobody &) {},
                   [&](const own_change &) { m_ownChanges -= m_ownChanges > 0 ? 1 : 0; },
                   [&](const claim_caller &caller) {
                       emit(send_to_link{caller.link, claim_call_reply{caller.call, false, {}}});
                       redirect(caller.link);
                   },
                   [&](const subscriber_start &start) { redirect(start.link); },
                   [&](const operator_request_token &token) {
                       emit(operator_reply{token, notLeading(), out.mayCommit});
                   },
               },
               *who);
}

void control_pipe::handle(const role_changed &out)
{
    emit(out);
    m_ownChanges = 0;
    if (out.role == log_role::Leader) {
        m_leases.step(leadership_acquired{}, m_now);
        m_measures = availability_meter();
    } else {
        runPublisher(leadership_lost{});
    }
}

void control_pipe::apply(const fleet_command &command, log_index at, const std::optional<waiter> &who)
{
    const revision before = m_fleet.at();
    const revision now(at.value());
    const result<revision> outcome = m_fleet.apply(command, now);
    emit(change_applied{now, command, outcome});
    runPublisher(change_committed{publish_change{before, now, command}});
    if (!who) {
        return;
    }
    if (const auto *token = std::get_if<operator_request_token>(&*who)) {
        emit(operator_reply{*token, outcome, false});
    } else if (std::holds_alternative<own_change>(*who)) {
        m_ownChanges -= m_ownChanges > 0 ? 1 : 0;
    }
}

void control_pipe::apply(const open_claim &claim, log_index, const std::optional<waiter> &who)
{
    answerClaim(who, m_claims.apply(claim));
}

void control_pipe::apply(const close_claim &claim, log_index at, const std::optional<waiter> &who)
{
    const claim_reply reply = m_claims.apply(claim);
    const auto *token = who ? std::get_if<operator_request_token>(&*who) : nullptr;
    if (token == nullptr) {
        answerClaim(who, reply);
    } else if (reply.verdict == claim_verdict::Closed) {
        emit(operator_reply{*token, revision(at.value()), false});
    } else {
        emit(operator_reply{
            *token, error{error_kind::UnknownClaim, "the claim is not one whose outcome is unknown", "list those with 'carawayloft claims list'"}, false});
    }
}

void control_pipe::answerClaim(const std::optional<waiter> &who, const claim_reply &reply)
{
    if (!who) {
        return;
    }
    if (const auto *caller = std::get_if<claim_caller>(&*who)) {
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

void control_pipe::compact()
{
    const bool manyEntries = m_applied.value() >= m_log.snapshotIndex().value() + m_options.entriesToCompact;
    if (!manyEntries && m_bytesApplied < m_options.bytesToCompact) {
        return;
    }
    m_bytesApplied = 0;
    std::vector<std::uint8_t> state = m_options.codec.encodeSnapshot({m_fleet.snapshot(), m_claims.snapshot()});
    const std::size_t size = state.size();
    runLog(log_compact{m_applied, std::move(state)});
    emit(log_compacted{m_applied, size});
}

} // namespace carawayloft
