#include "tasks/control_task.h"

#include "codec/names.h"
#include "ends/clock.h"
#include "ends/event_log.h"
#include "tasks/task_identity.h"

#include <carawayloft/core/overloaded.h>

#include <asio/post.hpp>

namespace carawayloft {

/** Lets the last frames leave the send buffers before the task ends. */
static constexpr duration shutdownDelay{100};

result<std::unique_ptr<control_task>>
control_task::create(asio::io_context &context, const settings &loaded, const front_end *frontEnd, std::function<void(bool)> onEnded)
{
    auto task = std::unique_ptr<control_task>(new control_task(context, loaded, frontEnd, std::move(onEnded)));
    if (status opened = task->openDataFolder(); failed(opened)) {
        return errorOf(opened);
    }
    if (status listening = task->listen(); failed(listening)) {
        return errorOf(listening);
    }
    return task;
}

control_task::control_task(asio::io_context &context, const settings &loaded, const front_end *frontEnd, std::function<void(bool)> onEnded)
    : m_context(context)
    , m_settings(loaded)
    , m_frontEnd(frontEnd)
    , m_directory(loaded.control)
    , m_onEnded(std::move(onEnded))
    , m_timers(context)
    , m_random(std::random_device()())
    , m_peers(context,
              m_timers,
              makeHello(loaded, process_role::Control),
              [this](const endpoint &peer, link_event event) { handlePeerEvent(peer, std::move(event)); })
    , m_engineClient(http_client::create(context))
    , m_mailbox(context.get_executor(), [this](const task_message &message) { std::visit([this](const auto &each) { handle(each); }, message); })
    , m_send(m_mailbox.sender())
{
}

void control_task::stop()
{
    m_send(stop_requested{});
}

void control_task::addReplicas(std::vector<control_peer> replicas)
{
    m_send(replicas_added{std::move(replicas)});
}

void control_task::handle(const stop_requested &)
{
    if (!m_stopping) {
        m_stopping = true;
        logEvent(event_number::ProcessStopping, {{"role", "control"}});
        m_pipe && !isWaitingForDisk() ? run(control_stop{}) : m_onEnded(true);
    }
}

void control_task::handle(const replicas_added &in)
{
    for (const control_peer &each : in.replicas) {
        addReplica(each);
    }
}

void control_task::addReplica(const control_peer &replica)
{
    if (replica.number != m_settings.replica->number && m_directory.add(replica)) {
        m_peers.add(replica.frames);
    }
}

/** The log's membership may differ from the replicas in the settings. */
void control_task::addLogMembers()
{
    for (const log_member &each : m_pipe->log().members()) {
        if (each.role == member_role::Retired) {
            continue;
        }
        addReplica({replicaNumberOf(each.replica), each.frames, each.http, each.zone});
    }
}

void control_task::handleLinkEvent(const std::shared_ptr<frame_link> &link, link_event event)
{
    std::visit(overloaded{
                   [&](const link_opened &opened) {
                       const link_id id = m_links.idOf(link);
                       logEvent(event_number::LinkOpened, {{"peer", opened.peer.process}, {"link", id}});
                       if (m_pipe) {
                           run(link_connected{id, opened.peer.role});
                       }
                   },
                   [&](link_received &each) { handleMessage(link, std::move(each.message)); },
                   [&](const link_closed &closed) {
                       const bool isProtocolError = closed.why.kind == error_kind::MalformedFrame || closed.why.kind == error_kind::VersionMismatch;
                       logEvent(isProtocolError ? event_number::FrameRejected : event_number::LinkClosed,
                                {{"peer", link->peer().process}, {"reason", describe(closed.why)}});
                       const link_id id = m_links.remove(link);
                       runFleet(gateway_lost{id});
                       if (m_pipe) {
                           run(link_lost{id});
                       }
                   },
               },
               event);
}

void control_task::handlePeerEvent(const endpoint &peer, link_event event)
{
    if (std::holds_alternative<link_opened>(event) && m_isFleetLeader) {
        m_peers.send(peer, m_fleet.snapshot(monotonicNow()));
    }
    if (auto *message = std::get_if<link_received>(&event)) {
        handleMessage(nullptr, std::move(message->message));
    }
}

void control_task::handleMessage(const std::shared_ptr<frame_link> &link, peer_message message)
{
    if (const auto *probe = std::get_if<formation_probe>(&message)) {
        if (const control_peer *peer = m_directory.find(probe->from)) {
            m_peers.send(peer->frames, formation_reply{m_settings.replica->number, isFormed()});
        }
    } else if (const auto *reply = std::get_if<formation_reply>(&message)) {
        runFormation(peer_formation_state{reply->from, reply->formed});
    } else if (!m_pipe) {
        return;
    } else if (auto *traffic = std::get_if<log_traffic>(&message)) {
        if (link && isForEarlierDisk(*traffic)) {
            link->send(join_request{ownMember()}); // All replicas that the settings name may have been replaced meanwhile.
        }
        run(replica_message{std::move(*traffic)});
    } else if (const auto *mirrored = std::get_if<publish_fleet>(&message)) {
        runFleet(fleet_mirrored{*mirrored});
    } else if (const auto *report = std::get_if<gateway_report>(&message); report != nullptr && link) {
        handleGatewayReport(m_links.idOf(link), *report);
    } else if (const auto *join = std::get_if<join_request>(&message)) {
        addReplica({replicaNumberOf(join->member.replica), join->member.frames, join->member.http, join->member.zone});
        sendLeaderAddress(join->member);
        run(member_described{join->member});
    } else if (link) {
        run(link_message{m_links.idOf(link), std::move(message)});
    }
}

/** Only the leader admits a replica, and needs its replies; but a joining replica may know just the seeds, or none that is left. */
void control_task::sendLeaderAddress(const log_member &joining)
{
    const log_member *leader = m_pipe->log().liveLeader(monotonicNow());
    if (leader != nullptr && leader->replica != joining.replica) {
        m_peers.send(joining.frames, join_request{*leader});
    }
}

void control_task::execute(const send_to_replica &out)
{
    if (const control_peer *peer = m_directory.find(replicaNumberOf(out.traffic.to))) {
        m_peers.send(peer->frames, out.traffic);
    }
}

void control_task::execute(const send_to_link &out)
{
    m_links.send(out.link, out.message);
}

static const char *nameOf(log_role role)
{
    switch (role) {
    case log_role::Follower:
        return "follower";
    case log_role::Candidate:
        return "candidate";
    case log_role::Leader:
        return "leader";
    }
    return "unknown";
}

void control_task::execute(const role_changed &out)
{
    logEvent(event_number::RoleChanged, {{"role", nameOf(out.role)}, {"term", out.term}, {"leader", replicaNumberOf(out.leader)}});
    m_strandedHosts.clear();
}

static const char *changeKind(const fleet_change &change)
{
    static constexpr std::array<const char *, std::variant_size_v<fleet_change>> names{"put_zone",
                                                                                       "put_host",
                                                                                       "remove_host",
                                                                                       "put_service",
                                                                                       "put_account",
                                                                                       "create_group",
                                                                                       "replace_member",
                                                                                       "drain_group",
                                                                                       "dissolve_group",
                                                                                       "propose_plan",
                                                                                       "confirm_plan",
                                                                                       "cancel_plan",
                                                                                       "advance_plan",
                                                                                       "put_configuration",
                                                                                       "quarantine_trait",
                                                                                       "release_trait",
                                                                                       "record_departure",
                                                                                       "record_engine_groups"};
    return names[change.index()];
}

static std::string joinIds(const std::vector<engine_member_record> &members)
{
    std::string ids;
    for (const engine_member_record &each : members) {
        ids += (ids.empty() ? "" : ",") + each.backend.value();
    }
    return ids;
}

void control_task::execute(const change_applied &out)
{
    const char *kind = changeKind(out.command.change);
    if (failed(out.outcome)) {
        logEvent(event_number::ChangeRefused, {{"revision", out.at}, {"change", kind}, {"author", out.command.author}, {"reason", errorOf(out.outcome).what}});
        return;
    }
    logEvent(event_number::ChangeAccepted, {{"revision", out.at}, {"change", kind}, {"author", out.command.author}});
    std::visit(
        overloaded{
            [&](const put_zone &change) {
                logEvent(event_number::ZoneChanged, {{"zone", change.zone.zone}, {"state", carawayloft::nameOf(change.zone.state)}});
            },
            [&](const propose_plan &) {
                logEvent(event_number::PlanProposed, {{"plan", out.at}});
            },
            [&](const confirm_plan &change) {
                logEvent(event_number::PlanConfirmed, {{"plan", change.plan}, {"author", out.command.author}});
            },
            [&](const cancel_plan &change) {
                logEvent(event_number::PlanCancelled, {{"plan", change.plan}, {"author", out.command.author}});
            },
            [&](const advance_plan &change) {
                logEvent(event_number::PlanStepDone, {{"plan", change.plan}, {"step", change.step}});
            },
            [&](const quarantine_trait &change) {
                const quarantine_record &made = change.quarantine;
                logEvent(event_number::TraitQuarantined,
                         {{"service", made.service}, {"trait", made.trait}, {"crashes", made.crashes}, {"author", out.command.author}});
            },
            [&](const release_trait &change) {
                logEvent(event_number::TraitReleased, {{"service", change.subject.service}, {"trait", change.subject.trait}, {"author", out.command.author}});
            },
            [&](const record_departure &change) {
                logEvent(event_number::DepartureRecorded, {{"backend", change.departure.backend}, {"started_at", change.departure.startedAt}});
            },
            [&](const record_engine_groups &change) {
                for (const removed_engine_group &each : change.retired) {
                    logEvent(event_number::EngineGroupRemoved, {{"group", each.epoch}});
                }
                for (const engine_group_record &each : change.formed) {
                    logEvent(event_number::EngineGroupRecorded, {{"group", each.epoch}, {"model", each.model}, {"members", joinIds(each.members)}});
                }
            },
            [](const auto &) {},
        },
        out.command.change);
}

void control_task::execute(const change_in_force &out)
{
    logEvent(event_number::RevisionInForce, {{"revision", out.at}, {"after_ms", out.after.count()}, {"subscribers", out.subscribers}});
    m_metrics.observe("carawayloft_in_force_seconds", {}, out.after);
}

void control_task::execute(const placement_proposed &out)
{
    std::visit(overloaded{
                   [&](const create_group &change) {
                       std::string hosts;
                       for (const host_id &each : change.hosts) {
                           hosts += (hosts.empty() ? "" : ",") + each.value();
                       }
                       logEvent(event_number::GroupPlaced, {{"service", change.service}, {"hosts", hosts}, {"reason", out.decision.reason}});
                   },
                   [&](const replace_member &change) {
                       logEvent(event_number::MemberReplaced,
                                {{"group", change.group}, {"leaving", change.leaving}, {"joining", change.joining}, {"reason", out.decision.reason}});
                   },
                   [&](const drain_group &change) {
                       logEvent(event_number::GroupDissolved, {{"group", change.group}, {"step", "drain"}, {"reason", out.decision.reason}});
                   },
                   [&](const dissolve_group &change) {
                       logEvent(event_number::GroupDissolved, {{"group", change.group}, {"step", "dissolve"}, {"reason", out.decision.reason}});
                   },
                   [](const auto &) {},
               },
               out.decision.change);
}

void control_task::execute(const hosts_stranded &out)
{
    std::size_t &lastLogged = m_strandedHosts[out.service];
    if (lastLogged != out.hosts) {
        lastLogged = out.hosts;
        logEvent(event_number::PlacementStranded, {{"service", out.service}, {"hosts", out.hosts}});
    }
}

static std::string numbersOf(const std::vector<log_member> &members, member_role role)
{
    std::string numbers;
    for (const log_member &each : members) {
        if (each.role == role) {
            numbers += (numbers.empty() ? "" : ",") + std::to_string(replicaNumberOf(each.replica).value());
        }
    }
    return numbers;
}

void control_task::execute(const members_changed &out)
{
    logEvent(event_number::MembersChanged,
             {{"voters", numbersOf(out.members, member_role::Voter)},
              {"half_voters", numbersOf(out.members, member_role::HalfVoter)},
              {"learners", numbersOf(out.members, member_role::Learner)},
              {"retired", numbersOf(out.members, member_role::Retired)}});
}

void control_task::execute(const log_compacted &out)
{
    logEvent(event_number::SnapshotTaken, {{"index", out.index}, {"bytes", out.bytes}});
}

void control_task::execute(const control_drained &)
{
    m_shutdownTimer = m_timers.after(shutdownDelay, [this](time_point) { m_onEnded(true); });
}

} // namespace carawayloft
