#include "tasks/control_task.h"

#include "codec/flat_codec.h"
#include "codec/payload_codec.h"
#include "ends/clock.h"
#include "ends/event_log.h"
#include "tasks/task_identity.h"

#include <algorithm>

namespace carawayloft {

static constexpr duration tickPeriod{20};
static constexpr duration formationPeriod{100};
static constexpr duration joinPeriod{300};
/** Part of the machine's memory for what callers make a control replica hold; its log and state take more than that. */
static constexpr std::size_t callerMemoryDivisor = 4;
static constexpr const char *identityFile = "identity";

/** Term of the initial membership entry; every election has a higher term. */
static constexpr log_term initialTerm{1};

namespace {

/** The replica that a data folder belongs to; written once, before any other file. */
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
    const bool isComplete = !failed(contents) && valueOf(contents).payloads.size() == 1;
    const auto identity = isComplete ? flat::decode<disk_identity>(valueOf(contents).payloads.front()) : std::nullopt;
    if (!identity) {
        return error{error_kind::DiskDamaged,
                     "file identity is damaged",
                     "remove this replica's data folder and start it again; it rejoins with a copy from the others"};
    }
    return std::optional(identity->replica);
}

static std::vector<log_member> initialMembers(const settings &loaded)
{
    std::vector<log_member> members;
    members.reserve(loaded.control.size());
    for (const control_peer &each : loaded.control) {
        members.push_back({makeReplicaId(each.number, initialDiskIncarnation), member_role::Voter, each.frames, each.http, each.zone});
    }
    return members;
}

status control_task::openDataFolder()
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
    if (m_settings.replica->bootstrapMode != bootstrap_mode::AskPeers) {
        return m_settings.replica->bootstrapMode == bootstrap_mode::Form ? formLog() : joinLog();
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
    const replica_settings &own = *m_settings.replica;
    auto listener = frame_listener::create(m_context, own.frames, makeHello(m_settings, process_role::Control), [this](const auto &link, link_event event) {
        handleLinkEvent(link, std::move(event));
    });
    if (failed(listener)) {
        return errorOf(listener);
    }
    m_listener = std::move(valueOf(listener));
    http_limits limits;
    limits.maxHeldBytes = m_settings.http.memoryBytes / callerMemoryDivisor;
    limits.maxBodyPause = m_settings.http.maxBodyPause;
    limits.maxConnectionsPerAddress = m_settings.http.maxConnectionsPerAddress;
    auto http = http_server::create(
        m_context,
        own.http,
        limits,
        [this](const http_request &request, const std::shared_ptr<http_exchange> &exchange) { serve(request, exchange); },
        [this](http_rejection why) { m_metrics.count("carawayloft_http_rejections_total", std::string("reason=\"") + name(why) + "\""); });
    if (failed(http)) {
        return errorOf(http);
    }
    m_http = std::move(valueOf(http));
    if (!own.metrics.value().empty()) {
        auto metricsHttp
            = http_server::create(m_context, own.metrics, statusPortLimits(), [this](const http_request &, const std::shared_ptr<http_exchange> &exchange) {
                  exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, renderMetrics()});
              });
        if (failed(metricsHttp)) {
            return errorOf(metricsHttp);
        }
        m_metricsHttp = std::move(valueOf(metricsHttp));
    }
    // Connections to the members of a recovered log were added already; the settings may name only some of them.
    for (const control_peer &each : m_settings.control) {
        if (each.number != own.number) {
            m_peers.add(each.frames);
        }
    }
    return {};
}

status control_task::storeIdentity(replica_id self)
{
    return m_folder->perform({replace_file{identityFile, encodeRecord(0, flat::encode(disk_identity{self}))}});
}

status control_task::startLog(replica_id self, recovered_log recovered)
{
    const time_point now = monotonicNow();
    m_self = self;
    const bool isInitialDisk = self == makeReplicaId(m_settings.replica->number, initialDiskIncarnation);
    if (isInitialDisk && recovered.entries.empty() && recovered.snapshot.index.value() == 0) {
        recovered.hardState = {initialTerm, replica_id()};
        recovered.entries = {{log_index(1), initialTerm, entry_kind::Membership, {}, initialMembers(m_settings)}};
        m_store.add(persist_hard_state{recovered.hardState});
        m_store.add(persist_entries{recovered.entries});
        if (status stored = m_folder->perform(m_store.flush()); failed(stored)) {
            return stored;
        }
    }
    logEvent(event_number::LogRecovered,
             {{"replica", self}, {"snapshot", recovered.snapshot.index}, {"entries", recovered.entries.size()}, {"term", recovered.hardState.term}});
    const log_snapshot snapshot = recovered.snapshot;
    replicated_log_options options;
    options.self = self;
    options.heartbeatPeriod = m_settings.replica->heartbeatPeriod;
    options.electionTimeout = m_settings.replica->electionTimeout;
    options.seed = m_random();
    options.maxVoters = m_settings.replica->maxVoters;
    auto log = replicated_log::create(options, std::move(recovered), now);
    if (failed(log)) {
        return errorOf(log);
    }
    const replica_settings &own = *m_settings.replica;
    const control_pipe_options pipeOptions{self,
                                           flatPayloadCodec(),
                                           {own.repairDelay, own.settleTime, own.weightLoadsAtOnce},
                                           {own.weightLoad, own.weightLoadsAtOnce, own.drain},
                                           own.entriesToCompact,
                                           own.bytesToCompact};
    auto pipe = control_pipe::create(pipeOptions, std::move(valueOf(log)), snapshot);
    if (failed(pipe)) {
        return errorOf(pipe);
    }
    m_pipe.emplace(std::move(valueOf(pipe)));
    addLogMembers();
    m_tick = m_timers.every(tickPeriod, [this](time_point) {
        run(control_tick{wallNow()});
        updateFleetLeadership();
        runFleet(fleet_tick{});
    });
    m_joinTick = m_timers.every(joinPeriod, [this](time_point) { requestJoin(); });
    return {};
}

void control_task::runFormation(const formation_input &in)
{
    if (!m_formation) {
        return;
    }
    for (const formation_output &each : m_formation->step(in, monotonicNow())) {
        std::visit([this](const auto &out) { execute(out); }, each);
    }
}

void control_task::execute(const probe_peer &out)
{
    if (const control_peer *peer = m_directory.find(out.peer)) {
        m_peers.send(peer->frames, formation_probe{m_settings.replica->number});
    }
}

void control_task::execute(const form_log &)
{
    if (status outcome = formLog(); failed(outcome)) {
        stopOnFailure(errorOf(outcome));
    }
}

void control_task::execute(const join_log &)
{
    if (status outcome = joinLog(); failed(outcome)) {
        stopOnFailure(errorOf(outcome));
    }
}

status control_task::formLog()
{
    const replica_id self = makeReplicaId(m_settings.replica->number, initialDiskIncarnation);
    logEvent(event_number::LogFormed, {{"replica", self}});
    const status outcome = storeIdentity(self);
    return failed(outcome) ? outcome : startLog(self, {});
}

status control_task::joinLog()
{
    std::uniform_int_distribution<std::uint32_t> incarnations(initialDiskIncarnation + 1);
    const replica_id self = makeReplicaId(m_settings.replica->number, incarnations(m_random));
    logEvent(event_number::ReplicaJoining, {{"replica", self}});
    const status outcome = storeIdentity(self);
    return failed(outcome) ? outcome : startLog(self, {});
}

void control_task::requestJoin()
{
    addLogMembers();
    const auto &members = m_pipe->log().members();
    const auto own = std::find_if(members.begin(), members.end(), [this](const log_member &each) { return each.replica == m_self; });
    const bool isCurrentMember = own != members.end() && own->role != member_role::Retired && own->zone == m_settings.zone;
    // A member that hears from no leader may have been retired while it was down or cut off.
    if (isCurrentMember && m_pipe->log().liveLeader(monotonicNow()) != nullptr) {
        return;
    }
    run(member_described{ownMember()});
    for (const auto &[number, each] : m_directory.all()) {
        if (number != m_settings.replica->number) {
            m_peers.send(each.frames, join_request{ownMember()});
        }
    }
}

log_member control_task::ownMember() const
{
    return {m_self, member_role::Learner, m_settings.replica->frames, m_settings.replica->http, m_settings.zone};
}

bool control_task::isForEarlierDisk(const log_traffic &traffic) const
{
    return traffic.to != m_self && replicaNumberOf(traffic.to) == m_settings.replica->number;
}

bool control_task::isFormed() const
{
    const bool isInitialDisk = m_self == makeReplicaId(m_settings.replica->number, initialDiskIncarnation);
    return m_pipe && (m_pipe->log().term() > initialTerm || !isInitialDisk);
}

} // namespace carawayloft
