#include "tasks/control_task.h"

#include "codec/flat_codec.h"
#include "codec/names.h"
#include "codec/payload_codec.h"
#include "ends/event_log.h"
#include "tasks/task_identity.h"

#include <carawayloft/core/overloaded.h>

#include <asio/post.hpp>

namespace carawayloft {

static constexpr duration tickPeriod{20};
static constexpr duration formationPeriod{100};
static constexpr duration joinPeriod{500};
static constexpr const char *identityFile = "identity";

/** The term in which the first members stand before any election. */
static constexpr log_term formedTerm{1};

namespace {

/** Which replica this disk is; written once, before anything else. */
struct disk_identity {
    replica_id replica;

    static constexpr auto fields()
    {
        return std::tuple(field{"replica", &disk_identity::replica});
    }
};

} // namespace

static result<std::optional<replica_id>> readIdentity(const folder_contents &folder)
{
    const auto file = folder.find(identityFile);
    if (file == folder.end()) {
        return std::optional<replica_id>();
    }
    const auto contents = decodeSegment(file->second);
    const bool whole = !failed(contents) && valueOf(contents).payloads.size() == 1;
    const auto identity = whole ? flat::decode<disk_identity>(valueOf(contents).payloads.front()) : std::nullopt;
    if (!identity) {
        return error{error_kind::DiskDamaged,
                     "file identity is damaged",
                     "remove this replica's data folder and start it again; it rejoins with a copy from the others"};
    }
    return std::optional(identity->replica);
}

static std::vector<log_member> firstMembers(const settings &loaded)
{
    std::vector<log_member> members;
    members.reserve(loaded.control.size());
    for (const control_peer &each : loaded.control) {
        members.push_back({makeReplicaId(each.number, initialDiskIncarnation), member_role::Voter, each.frames, each.http});
    }
    return members;
}

static const control_peer &ownPeer(const settings &loaded)
{
    return *std::find_if(loaded.control.begin(), loaded.control.end(), [&](const control_peer &each) { return each.number == loaded.replica->number; });
}

result<std::unique_ptr<control_task>> control_task::create(asio::io_context &context, const settings &loaded, std::function<void(bool)> ended)
{
    auto task = std::unique_ptr<control_task>(new control_task(context, loaded, std::move(ended)));
    if (status opened = task->openFolder(); failed(opened)) {
        return errorOf(opened);
    }
    if (status listening = task->listen(); failed(listening)) {
        return errorOf(listening);
    }
    return task;
}

control_task::control_task(asio::io_context &context, const settings &loaded, std::function<void(bool)> ended)
    : m_context(context)
    , m_settings(loaded)
    , m_ended(std::move(ended))
    , m_timers(context)
    , m_random(std::random_device()())
    , m_peers(
          context, m_timers, makeHello(loaded, process_role::Control), [this](const endpoint &peer, link_event event) { peerEvent(peer, std::move(event)); })
    , m_mailbox(context.get_executor(),
                [this](task_stop) {
                    if (!m_stopping) {
                        m_stopping = true;
                        logEvent(event_number::ProcessStopping, {{"role", "control"}});
                        m_pipe ? run(control_stop{}) : m_ended(true);
                    }
                })
    , m_stop(m_mailbox.sender())
{
}

void control_task::stop()
{
    m_stop({});
}

status control_task::openFolder()
{
    auto folder = data_folder::open(m_settings.replica->dataFolder);
    if (failed(folder)) {
        return errorOf(folder);
    }
    m_folder = std::move(valueOf(folder));
    const result<folder_contents> files = m_folder->readAll();
    if (failed(files)) {
        return errorOf(files);
    }
    const auto identity = readIdentity(valueOf(files));
    if (failed(identity)) {
        return errorOf(identity);
    }
    auto opened = log_store::open(valueOf(files));
    if (failed(opened)) {
        return errorOf(opened);
    }
    if (status repaired = m_folder->perform(valueOf(opened).repairs); failed(repaired)) {
        return repaired;
    }
    m_store = std::move(valueOf(opened).store);
    if (valueOf(identity)) {
        return startLog(*valueOf(identity), std::move(valueOf(opened).recovered));
    }
    std::set<replica_number> others;
    for (const control_peer &each : m_settings.control) {
        if (each.number != m_settings.replica->number) {
            others.insert(each.number);
        }
    }
    m_formation.emplace(std::move(others));
    m_joinTick = m_timers.every(formationPeriod, [this](time_point) { runFormation(formation_tick{}); });
    return {};
}

status control_task::listen()
{
    const control_peer &own = ownPeer(m_settings);
    auto listener = frame_listener::create(
        m_context, own.frames, makeHello(m_settings, process_role::Control), [this](const auto &link, link_event event) { linkEvent(link, std::move(event)); });
    if (failed(listener)) {
        return errorOf(listener);
    }
    m_listener = std::move(valueOf(listener));
    auto http = http_server::create(
        m_context, own.http, {}, [this](const http_request &request, const std::shared_ptr<http_exchange> &exchange) { serve(request, exchange); });
    if (failed(http)) {
        return errorOf(http);
    }
    m_http = std::move(valueOf(http));
    std::set<endpoint> others;
    for (const control_peer &each : m_settings.control) {
        if (each.number != own.number) {
            others.insert(each.frames);
        }
    }
    m_peers.setWanted(others);
    return {};
}

status control_task::storeIdentity(replica_id self)
{
    return m_folder->perform({replace_file{identityFile, encodeRecord(0, flat::encode(disk_identity{self}))}});
}

status control_task::startLog(replica_id self, recovered_log recovered)
{
    const time_point now = std::chrono::steady_clock::now();
    m_self = self;
    const bool isFirst = self == makeReplicaId(m_settings.replica->number, initialDiskIncarnation);
    if (isFirst && recovered.entries.empty() && recovered.snapshot.index.value() == 0) {
        recovered.promise = {formedTerm, replica_id()};
        recovered.entries = {{log_index(1), formedTerm, entry_kind::Membership, {}, firstMembers(m_settings)}};
        m_store.add(persist_promise{recovered.promise});
        m_store.add(persist_entries{recovered.entries});
        if (status stored = m_folder->perform(m_store.flush()); failed(stored)) {
            return stored;
        }
    }
    logEvent(event_number::LogRecovered,
             {{"replica", self}, {"snapshot", recovered.snapshot.index}, {"entries", recovered.entries.size()}, {"term", recovered.promise.term}});
    const log_snapshot snapshot = recovered.snapshot;
    agreed_log_options options;
    options.self = self;
    options.heartbeatPeriod = m_settings.replica->heartbeatPeriod;
    options.electionTimeout = m_settings.replica->electionTimeout;
    options.seed = m_random();
    auto log = agreed_log::create(options, std::move(recovered), now);
    if (failed(log)) {
        return errorOf(log);
    }
    const replica_settings &own = *m_settings.replica;
    const order_pipe_options pipeOptions{self,
                                         flatPayloadCodec(),
                                         {own.repairDelay, own.settleTime, own.weightLoadsAtOnce},
                                         {own.weightLoad, own.weightLoadsAtOnce, own.drain},
                                         own.entriesToCompact};
    auto pipe = order_pipe::create(pipeOptions, std::move(valueOf(log)), snapshot);
    if (failed(pipe)) {
        return errorOf(pipe);
    }
    m_pipe.emplace(std::move(valueOf(pipe)));
    m_tick = m_timers.every(tickPeriod, [this](time_point) { run(control_tick{wallNow()}); });
    m_joinTick = m_timers.every(joinPeriod, [this](time_point) { askToJoin(); });
    return {};
}

void control_task::runFormation(const formation_input &in)
{
    if (!m_formation) {
        return;
    }
    for (const formation_output &each : m_formation->step(in, std::chrono::steady_clock::now())) {
        std::visit([this](const auto &out) { act(out); }, each);
    }
}

void control_task::act(const probe_peer &out)
{
    for (const control_peer &each : m_settings.control) {
        if (each.number == out.peer) {
            m_peers.send(each.frames, formation_probe{m_settings.replica->number});
        }
    }
}

void control_task::act(const form_log &)
{
    const replica_id self = makeReplicaId(m_settings.replica->number, initialDiskIncarnation);
    logEvent(event_number::LogFormed, {{"replica", self}});
    status done = storeIdentity(self);
    done = failed(done) ? done : startLog(self, {});
    if (failed(done)) {
        replicaStopped(errorOf(done));
    }
}

void control_task::act(const join_log &)
{
    std::uniform_int_distribution<std::uint32_t> incarnations(initialDiskIncarnation + 1);
    const replica_id self = makeReplicaId(m_settings.replica->number, incarnations(m_random));
    logEvent(event_number::ReplicaJoining, {{"replica", self}});
    status done = storeIdentity(self);
    done = failed(done) ? done : startLog(self, {});
    if (failed(done)) {
        replicaStopped(errorOf(done));
    }
}

void control_task::askToJoin()
{
    const auto &members = m_pipe->log().members();
    const bool isMember = std::any_of(members.begin(), members.end(), [this](const log_member &each) { return each.replica == m_self; });
    if (isMember) {
        return;
    }
    const control_peer &own = ownPeer(m_settings);
    for (const control_peer &each : m_settings.control) {
        m_peers.send(each.frames, join_request{{m_self, member_role::Learner, own.frames, own.http}});
    }
}

void control_task::linkEvent(const std::shared_ptr<frame_link> &link, link_event event)
{
    std::visit(
        overloaded{
            [&](const link_opened &opened) {
                const link_id id = m_links.idOf(link);
                logEvent(event_number::LinkOpened, {{"peer", opened.peer.process}, {"link", id}});
                if (m_pipe) {
                    run(link_connected{id, opened.peer.role});
                }
            },
            [&](link_received &each) { received(link, std::move(each.message)); },
            [&](const link_closed &closed) {
                const bool hostile = closed.why.kind == error_kind::MalformedFrame || closed.why.kind == error_kind::VersionMismatch;
                logEvent(hostile ? event_number::FrameRejected : event_number::LinkClosed, {{"peer", link->peer().process}, {"reason", describe(closed.why)}});
                const link_id id = m_links.remove(link);
                if (m_pipe) {
                    run(link_lost{id});
                }
            },
        },
        event);
}

void control_task::peerEvent(const endpoint &, link_event event)
{
    if (auto *message = std::get_if<link_received>(&event)) {
        received(nullptr, std::move(message->message));
    }
}

void control_task::received(const std::shared_ptr<frame_link> &link, peer_message message)
{
    if (const auto *probe = std::get_if<formation_probe>(&message)) {
        const bool formed = m_pipe && (m_pipe->log().term() > formedTerm || m_self != makeReplicaId(m_settings.replica->number, initialDiskIncarnation));
        for (const control_peer &each : m_settings.control) {
            if (each.number == probe->from) {
                m_peers.send(each.frames, formation_reply{m_settings.replica->number, formed});
            }
        }
    } else if (const auto *reply = std::get_if<formation_reply>(&message)) {
        runFormation(formation_answer{reply->from, reply->formed});
    } else if (!m_pipe) {
        return;
    } else if (auto *traffic = std::get_if<log_traffic>(&message)) {
        run(replica_message{std::move(*traffic)});
    } else if (link) {
        run(link_message{m_links.idOf(link), std::move(message)});
    }
}

void control_task::run(const order_pipe_input &in)
{
    if (m_failed) {
        return;
    }
    std::vector<order_pipe_output> outputs = m_pipe->step(in, std::chrono::steady_clock::now());
    m_pending.insert(m_pending.end(), std::make_move_iterator(outputs.begin()), std::make_move_iterator(outputs.end()));
    if (!m_pending.empty() && !m_flushPosted) {
        m_flushPosted = true;
        asio::post(m_context, [this] { flush(); });
    }
}

void control_task::flush()
{
    m_flushPosted = false;
    const std::vector<order_pipe_output> outputs = std::exchange(m_pending, {});
    for (const order_pipe_output &each : outputs) {
        std::visit(overloaded{
                       [this](const persist_promise &out) { m_store.add(out); },
                       [this](const persist_entries &out) { m_store.add(out); },
                       [this](const persist_snapshot &out) { m_store.add(out); },
                       [](const auto &) {},
                   },
                   each);
    }
    const std::vector<disk_operation> operations = m_store.flush();
    if (!operations.empty()) {
        const auto begun = std::chrono::steady_clock::now();
        if (status stored = m_folder->perform(operations); failed(stored)) {
            replicaStopped(errorOf(stored));
            return;
        }
        m_metrics.observe("carawayloft_log_sync_seconds", std::chrono::steady_clock::now() - begun);
    }
    for (const order_pipe_output &each : outputs) {
        std::visit([this](const auto &out) { act(out); }, each);
    }
}

void control_task::replicaStopped(const error &why)
{
    m_failed = true;
    logEvent(event_number::ReplicaStopped, {{"kind", name(why.kind)}, {"reason", describe(why)}});
    m_ended(false);
}

void control_task::act(const send_to_replica &out)
{
    for (const control_peer &each : m_settings.control) {
        if (each.number == numberOf(out.traffic.to)) {
            m_peers.send(each.frames, out.traffic);
        }
    }
}

void control_task::act(const send_to_link &out)
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

void control_task::act(const role_changed &out)
{
    logEvent(event_number::RoleChanged, {{"role", nameOf(out.role)}, {"term", out.term}, {"leader", numberOf(out.leader)}});
    m_stranded.clear();
}

static const char *kindOf(const fleet_change &change)
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
                                                                                       "advance_plan"};
    return names[change.index()];
}

void control_task::act(const change_applied &out)
{
    const char *kind = kindOf(out.command.change);
    if (failed(out.outcome)) {
        logEvent(event_number::ChangeRefused, {{"revision", out.at}, {"change", kind}, {"author", out.command.author}, {"reason", errorOf(out.outcome).what}});
        return;
    }
    logEvent(event_number::ChangeAccepted, {{"revision", out.at}, {"change", kind}, {"author", out.command.author}});
    std::visit(overloaded{
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
                   [](const auto &) {},
               },
               out.command.change);
}

void control_task::act(const change_in_force &out)
{
    logEvent(event_number::RevisionInForce, {{"revision", out.at}, {"after_ms", out.after.count()}, {"subscribers", out.subscribers}});
    m_metrics.observe("carawayloft_in_force_seconds", out.after);
}

void control_task::act(const placement_proposed &out)
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

void control_task::act(const hosts_stranded &out)
{
    std::size_t &before = m_stranded[out.service];
    if (before != out.hosts) {
        before = out.hosts;
        logEvent(event_number::PlacementStranded, {{"service", out.service}, {"hosts", out.hosts}});
    }
}

void control_task::act(const state_compacted &out)
{
    logEvent(event_number::SnapshotTaken, {{"index", out.index}, {"bytes", out.bytes}});
}

void control_task::act(const control_drained &)
{
    m_endTimer = m_timers.after(formationPeriod, [this](time_point) { m_ended(true); });
}

} // namespace carawayloft
