#pragma once

#include <carawayloft/control/replicated_log.h>

#include "support/properties.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace carawayloft::test_support {

inline constexpr std::uint32_t replicaCount = 3;

struct in_flight {
    replica_id from;
    replica_id to;
    log_message message;
};

/** One replica with a disk that survives its crashes, unless the disk itself is lost. */
struct replica {
    replica_id id;
    std::optional<replicated_log> log;
    recovered_log disk;
    log_index applied;
    availability_zone_id zone;
    bool cut = false;
    bool frozen = false;
    bool isRemoved = false; /**< It never runs again. */
};

/** A read and the last index that was known to be accepted when it was asked for. */
struct open_read {
    log_request_token token;
    std::uint32_t at = 0;
    log_index acceptedBefore;
};

/** Several replicas, a network that loses, doubles and reorders, and a list of what was accepted. */
class log_cluster
{
public:
    /** One voter in each of @p zones; an empty text is a zone that is not known. */
    explicit log_cluster(const std::vector<std::string> &zones = std::vector<std::string>(replicaCount))
        : m_maxVoters(zones.size())
    {
        std::vector<log_member> members;
        for (const std::string &zone : zones) {
            const replica_number number(static_cast<std::uint32_t>(members.size() + 1));
            members.push_back({makeReplicaId(number, initialDiskIncarnation), member_role::Voter, {}, {}, availability_zone_id(zone)});
        }
        for (const log_member &member : members) {
            replica &each = m_replicas.emplace_back();
            each.id = member.replica;
            each.zone = member.zone;
            each.disk.hardState.term = log_term(1);
            each.disk.entries = {{log_index(1), log_term(1), entry_kind::Membership, {}, members}};
            start(static_cast<std::uint32_t>(m_replicas.size() - 1));
        }
    }

    /** Starts a replica with an empty disk in this zone; returns its index. */
    std::uint32_t addReplica(availability_zone_id zone)
    {
        const auto added = static_cast<std::uint32_t>(m_replicas.size());
        replica &each = m_replicas.emplace_back();
        each.id = makeReplicaId(replica_number(added + 1), initialDiskIncarnation + 1);
        each.zone = std::move(zone);
        start(added);
        return added;
    }

    /** The replica goes for good. */
    void removeReplica(std::uint32_t i)
    {
        crash(i);
        m_replicas[i].isRemoved = true;
    }

    /** The replica loses its disk, whatever else is lost, and does not run. */
    void wipe(std::uint32_t i)
    {
        crash(i);
        replica &lost = m_replicas[i];
        lost.disk = {};
        lost.applied = log_index();
        lost.id = makeReplicaId(replica_number(i + 1), static_cast<std::uint32_t>(lost.id.value()) + 1);
    }

    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(m_replicas.size());
    }

    const replica &at(std::uint32_t i) const
    {
        return m_replicas[i];
    }

    time_point now() const
    {
        return m_now;
    }

    /** Everything that is sent arrives in order for this time. */
    void runFor(duration time)
    {
        for (const time_point end = m_now + time; m_now < end;) {
            runQuietly();
        }
    }

    /** Whether a new value is accepted within @p time, while what is lost stays lost and nothing else is. */
    bool leadsWithin(duration time)
    {
        const log_index before = m_lastAccepted;
        for (const time_point end = m_now + time; m_now < end;) {
            runQuietly();
            if (const auto leader = leaderIndex()) {
                propose(*leader);
            }
            if (m_lastAccepted > before) {
                return true;
            }
        }
        return false;
    }

    /** The replica that holds the leader lease. */
    std::optional<std::uint32_t> leaderIndex() const
    {
        for (std::uint32_t i = 0; i < m_replicas.size(); ++i) {
            if (m_replicas[i].log && !m_replicas[i].cut && m_replicas[i].log->holdsLeaderLease(m_now)) {
                return i;
            }
        }
        return std::nullopt;
    }

    void pass(std::uint64_t milliseconds)
    {
        m_now += duration(static_cast<duration::rep>(milliseconds));
    }

    void tick(std::uint32_t i)
    {
        run(i, log_tick{});
        if (m_replicas[i].log && (!isMember(i) || m_replicas[i].log->liveLeader(m_now) == nullptr)) {
            const std::uint32_t other = static_cast<std::uint32_t>(m_random() % m_replicas.size());
            run(other, log_join_request{{m_replicas[i].id, member_role::Learner, {}, {}, m_replicas[i].zone}});
        }
    }

    void deliver(std::uint64_t choice, bool keep)
    {
        if (m_network.empty()) {
            return;
        }
        const std::size_t place = choice % m_network.size();
        const in_flight message = m_network[place];
        if (!keep) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(place));
        }
        const std::optional<std::uint32_t> to = indexOf(message.to);
        const std::optional<std::uint32_t> from = indexOf(message.from);
        if (to && !m_replicas[*to].cut && (!from || !m_replicas[*from].cut)) {
            run(*to, log_message_received{message.from, message.message});
        }
    }

    void drop(std::uint64_t choice)
    {
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(choice % m_network.size()));
        }
    }

    void propose(std::uint32_t i)
    {
        const std::uint64_t value = ++m_lastValue;
        run(i, log_proposal{log_request_token(value), {static_cast<std::uint8_t>(value), static_cast<std::uint8_t>(value >> 8U)}});
    }

    void read(std::uint32_t i)
    {
        const log_request_token token(1'000'000 + ++m_lastValue);
        m_reads.push_back({token, i, m_lastAccepted});
        run(i, log_read_request{token});
    }

    void transferLeadership(std::uint32_t i)
    {
        run(i, log_leadership_transfer{});
    }

    void crash(std::uint32_t i)
    {
        m_replicas[i].log.reset();
    }

    /** The next step of the replica stores what it must and then loses power, before anything is sent. */
    void crashAfterNextSync(std::uint32_t i)
    {
        m_crashAfterSync = i;
    }

    /** Power fails before the next step's records reach the disk. */
    void crashBeforeNextSync(std::uint32_t i)
    {
        m_crashBeforeSync = i;
    }

    void restart(std::uint32_t i)
    {
        if (!m_replicas[i].log && !m_replicas[i].isRemoved) {
            start(i);
        }
    }

    /** Only one disk may be lost until the replica is a voter again and all others run; returns whether it was. */
    bool loseDisk(std::uint32_t i)
    {
        const std::optional<std::uint32_t> leader = leaderIndex();
        if (!leader || *leader == i || m_replicas[*leader].log->members().size() != replicaCount) {
            return false;
        }
        for (const log_member &each : m_replicas[*leader].log->members()) {
            const std::optional<std::uint32_t> index = indexOf(each.replica);
            if (each.role != member_role::Voter || !index || !m_replicas[*index].log || m_replicas[*index].cut || m_replicas[*index].frozen) {
                return false;
            }
        }
        if (m_replicas[*leader].log->commitIndex() != m_replicas[*leader].log->lastIndex()) {
            return false;
        }
        replica &lost = m_replicas[i];
        lost.disk = {};
        lost.applied = log_index();
        lost.id = makeReplicaId(replica_number(i + 1), static_cast<std::uint32_t>(lost.id.value()) + 1);
        start(i);
        return true;
    }

    void freeze(std::uint32_t i)
    {
        m_replicas[i].frozen = true;
    }

    /** The first thing that a thawed replica does is to answer a question that waited for it. */
    void thaw(std::uint32_t i)
    {
        if (m_replicas[i].frozen) {
            m_replicas[i].frozen = false;
            read(i);
        }
    }

    void setCut(std::uint32_t i, bool cut)
    {
        m_replicas[i].cut = cut;
    }

    void compact(std::uint32_t i)
    {
        if (m_replicas[i].log) {
            run(i, log_compact{m_replicas[i].applied, {}});
        }
    }

    std::size_t accepted() const
    {
        return m_accepted.size();
    }

    /** Everything runs and nothing is lost from here on; true once a new proposal is accepted. */
    bool recovers()
    {
        for (std::uint32_t i = 0; i < replicaCount; ++i) {
            setCut(i, false);
            thaw(i);
            restart(i);
        }
        m_crashAfterSync.reset();
        m_crashBeforeSync.reset();
        const log_index before = m_lastAccepted;
        for (int round = 0; round < 2'000; ++round) {
            pass(10);
            for (std::uint32_t i = 0; i < replicaCount; ++i) {
                tick(i);
            }
            while (!m_network.empty()) {
                deliver(0, false);
            }
            if (const auto leader = leaderIndex(); leader && round % 20 == 0) {
                propose(*leader);
            }
            if (m_lastAccepted > before && everyoneIsVoter()) {
                return true;
            }
        }
        return false;
    }

private:
    bool everyoneIsVoter() const
    {
        const auto leader = leaderIndex();
        return leader && m_replicas[*leader].log->members().size() == replicaCount
               && std::all_of(m_replicas[*leader].log->members().begin(), m_replicas[*leader].log->members().end(), [](const log_member &each) {
                      return each.role == member_role::Voter;
                  });
    }

    bool isMember(std::uint32_t i) const
    {
        const auto &members = m_replicas[i].log->members();
        return std::any_of(
            members.begin(), members.end(), [&](const log_member &each) { return each.replica == m_replicas[i].id && each.role != member_role::Retired; });
    }

    std::optional<std::uint32_t> indexOf(replica_id id) const
    {
        for (std::uint32_t i = 0; i < m_replicas.size(); ++i) {
            if (m_replicas[i].id == id) {
                return i;
            }
        }
        return std::nullopt;
    }

    /** A step of time, in which every replica has its tick and every message arrives. */
    void runQuietly()
    {
        static constexpr std::uint64_t stepMs = 10;
        pass(stepMs);
        for (std::uint32_t i = 0; i < m_replicas.size(); ++i) {
            tick(i);
        }
        while (!m_network.empty()) {
            deliver(0, false);
        }
    }

    void start(std::uint32_t i)
    {
        replicated_log_options options;
        options.self = m_replicas[i].id;
        options.seed = m_random();
        options.maxEntriesPerMessage = 3;
        options.maxVoters = m_maxVoters;
        m_replicas[i].applied = m_replicas[i].disk.snapshot.index;
        m_replicas[i].log.emplace(valueOf(replicated_log::create(options, m_replicas[i].disk, m_now)));
    }

    void run(std::uint32_t i, const replicated_log_input &in)
    {
        replica &self = m_replicas[i];
        if (!self.log || self.frozen) {
            return;
        }
        const std::vector<replicated_log_output> outputs = self.log->step(in, m_now);
        if (m_crashBeforeSync == i) {
            m_crashBeforeSync.reset();
            crash(i);
            return;
        }
        for (const replicated_log_output &each : outputs) {
            store(self, each);
        }
        if (m_crashAfterSync == i) {
            m_crashAfterSync.reset();
            crash(i);
            return;
        }
        for (const replicated_log_output &each : outputs) {
            act(i, each);
        }
        checkLeases();
    }

    static void store(replica &self, const replicated_log_output &out)
    {
        if (const auto *hardState = std::get_if<persist_hard_state>(&out)) {
            self.disk.hardState = hardState->hardState;
        } else if (const auto *entries = std::get_if<persist_entries>(&out)) {
            for (const log_entry &each : entries->entries) {
                while (!self.disk.entries.empty() && self.disk.entries.back().index >= each.index) {
                    self.disk.entries.pop_back();
                }
                self.disk.entries.push_back(each);
            }
        } else if (const auto *snapshot = std::get_if<persist_snapshot>(&out)) {
            self.disk.snapshot = snapshot->snapshot;
            self.disk.entries = snapshot->rest;
        }
    }

    void act(std::uint32_t i, const replicated_log_output &out)
    {
        if (const auto *send = std::get_if<send_log_message>(&out)) {
            m_network.push_back({m_replicas[i].id, send->to, send->message});
        } else if (const auto *committed = std::get_if<entry_committed>(&out)) {
            accept(i, *committed);
        } else if (const auto *installed = std::get_if<snapshot_installed>(&out)) {
            m_replicas[i].applied = installed->snapshot.index;
        } else if (const auto *ready = std::get_if<read_ready>(&out)) {
            checkRead(i, ready->token);
        } else if (const auto *role = std::get_if<role_changed>(&out); role != nullptr && role->role == log_role::Leader) {
            const auto [known, isNew] = m_leaders.emplace(role->term, m_replicas[i].id);
            RC_ASSERT((isNew || known->second == m_replicas[i].id));
        }
    }

    /** The naive list: an index, once accepted anywhere, holds the same entry everywhere for ever. */
    void accept(std::uint32_t i, const entry_committed &committed)
    {
        RC_ASSERT(committed.entry.index == next(m_replicas[i].applied));
        m_replicas[i].applied = committed.entry.index;
        const auto [known, isNew] = m_accepted.emplace(committed.entry.index, committed.entry);
        RC_ASSERT((isNew || known->second == committed.entry));
        if (committed.token.value() != 0) {
            m_lastAccepted = std::max(m_lastAccepted, committed.entry.index);
        }
    }

    void checkRead(std::uint32_t i, log_request_token token)
    {
        const auto read = std::find_if(m_reads.begin(), m_reads.end(), [&](const open_read &each) { return each.token == token; });
        if (read != m_reads.end()) {
            RC_ASSERT(m_replicas[i].applied >= read->acceptedBefore);
            m_reads.erase(read);
        }
    }

    void checkLeases()
    {
        const auto holders
            = std::count_if(m_replicas.begin(), m_replicas.end(), [this](const replica &each) { return each.log && each.log->holdsLeaderLease(m_now); });
        RC_ASSERT(holders <= 1);
    }

    std::size_t m_maxVoters;
    time_point m_now{std::chrono::hours(1)};
    std::mt19937_64 m_random{7};
    std::vector<replica> m_replicas;
    std::vector<in_flight> m_network;
    std::map<log_index, log_entry> m_accepted;
    std::map<log_term, replica_id> m_leaders;
    log_index m_lastAccepted;
    std::vector<open_read> m_reads;
    std::uint64_t m_lastValue = 0;
    std::size_t m_leases = 0;
    std::optional<std::uint32_t> m_crashAfterSync;
    std::optional<std::uint32_t> m_crashBeforeSync;
};

} // namespace carawayloft::test_support
