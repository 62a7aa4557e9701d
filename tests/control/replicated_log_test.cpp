#include "support/log_cluster.h"

#include <algorithm>
#include <iostream>
#include <optional>

using namespace carawayloft;
using test_support::log_cluster;
using test_support::replicaCount;

namespace {

/** The events of a schedule; actions() gives each its weight. */
enum class event_kind : std::uint8_t {
    Crash,
    CrashAfterSync,
    CrashBeforeSync,
    Restart,
    CrashAndRestart,
    LoseDisk,
    Isolate,
    Reconnect,
    Suspend,
    Resume,
    Compact,
    Drop,
    Duplicate,
    AdvanceTime,
    Read,
    Propose,
    Tick,
    Deliver,
};

struct action {
    event_kind kind = event_kind::Tick;
    std::uint32_t replica = 0;
    std::uint64_t choice = 0;
};

} // namespace

static void act(log_cluster &cluster, const action &chosen)
{
    const auto &[kind, i, choice] = chosen;
    cluster.pass(choice % 4);
    switch (kind) {
    case event_kind::Crash:
        cluster.crash(i);
        return;
    case event_kind::CrashAfterSync:
        cluster.crashAfterNextSync(i);
        return;
    case event_kind::CrashBeforeSync:
        cluster.crashBeforeNextSync(i);
        return;
    case event_kind::Restart:
        cluster.restart(i);
        return;
    case event_kind::CrashAndRestart:
        cluster.crash(i);
        cluster.restart(i);
        return;
    case event_kind::LoseDisk:
        cluster.loseDisk(i);
        return;
    case event_kind::Isolate:
        cluster.setCut(i, true);
        return;
    case event_kind::Reconnect:
        cluster.setCut(i, false);
        cluster.tick(i);
        return;
    case event_kind::Suspend:
        cluster.freeze(i);
        return;
    case event_kind::Resume:
        cluster.thaw(i);
        return;
    case event_kind::Compact:
        cluster.compact(i);
        return;
    case event_kind::Drop:
        cluster.drop(choice);
        return;
    case event_kind::Duplicate:
        cluster.deliver(choice, true);
        return;
    case event_kind::AdvanceTime:
        cluster.pass(choice % 900);
        return;
    case event_kind::Read:
        cluster.read(i);
        return;
    case event_kind::Propose:
        cluster.propose(i);
        return;
    case event_kind::Tick:
        cluster.pass(20);
        cluster.tick(i);
        return;
    case event_kind::Deliver:
        cluster.deliver(choice, false);
        return;
    }
}

static rc::Gen<std::vector<action>> actions(std::size_t count)
{
    const auto kind = rc::gen::weightedElement<event_kind>({{3, event_kind::Crash},
                                                            {3, event_kind::CrashAfterSync},
                                                            {3, event_kind::CrashBeforeSync},
                                                            {30, event_kind::Restart},
                                                            {7, event_kind::CrashAndRestart},
                                                            {6, event_kind::LoseDisk},
                                                            {3, event_kind::Isolate},
                                                            {15, event_kind::Reconnect},
                                                            {5, event_kind::Suspend},
                                                            {15, event_kind::Resume},
                                                            {6, event_kind::Compact},
                                                            {10, event_kind::Drop},
                                                            {20, event_kind::Duplicate},
                                                            {5, event_kind::AdvanceTime},
                                                            {30, event_kind::Read},
                                                            {60, event_kind::Propose},
                                                            {150, event_kind::Tick},
                                                            {500, event_kind::Deliver}});
    const auto one = rc::gen::build<action>(rc::gen::set(&action::kind, kind),
                                            rc::gen::set(&action::replica, rc::gen::inRange<std::uint32_t>(0, replicaCount)),
                                            rc::gen::set(&action::choice, rc::gen::inRange<std::uint64_t>(0, 1'000'000)));
    return rc::gen::container<std::vector<action>>(count, one);
}

/** Random schedules of crashes, lost disks, partitions and reordered messages; log_cluster checks each commit and read against a list. */
TEST(ReplicatedLog, MatchesAListOfCommittedValues)
{
    std::size_t accepted = 0;
    std::size_t runs = 0;
    const bool holds = rc::check("the log matches a list of committed values", [&] {
        const auto chosen = *actions(12'000);
        log_cluster cluster;
        for (const action &each : chosen) {
            act(cluster, each);
        }
        accepted += cluster.accepted();
        ++runs;
        RC_ASSERT(cluster.recovers());
    });
    EXPECT_TRUE(holds);
    std::cout << accepted << " values committed in " << runs << " runs\n";
    // The faults must leave enough room for progress, or the check proves little.
    EXPECT_GT(accepted, 50 * runs);
}

/** Guards against a replica that lost its disk counting towards a quorum too early: another replica is lost right after the first has rejoined. */
TEST(ReplicatedLog, KeepsCommittedEntriesWhenAReplicaIsLostRightAfterAnotherRejoined)
{
    const bool holds = rc::check("disk loss followed by the loss of another replica", [] {
        log_cluster cluster;
        RC_ASSERT(cluster.recovers());
        const auto chosen = *actions(200);
        for (const action &each : chosen) {
            if (each.kind >= event_kind::Compact) {
                act(cluster, each);
            }
        }
        RC_ASSERT(cluster.recovers());
        const std::uint32_t lost = *rc::gen::inRange<std::uint32_t>(0, replicaCount);
        RC_PRE(cluster.loseDisk(lost));
        RC_ASSERT(cluster.recovers());
        cluster.crash((lost + 1) % replicaCount);
        cluster.setCut((lost + 1) % replicaCount, true);
        RC_ASSERT(cluster.recovers());
    });
    EXPECT_TRUE(holds);
}

static replica_id idOf(std::uint32_t number)
{
    return makeReplicaId(replica_number(number), initialDiskIncarnation);
}

/** Replica 1 of three, started from disk. */
static replicated_log startReplica(time_point now)
{
    recovered_log disk;
    disk.hardState.term = log_term(1);
    std::vector<log_member> members;
    for (std::uint32_t i = 1; i <= replicaCount; ++i) {
        members.push_back({idOf(i), member_role::Voter, {}, {}, {}});
    }
    disk.entries = {{log_index(1), log_term(1), entry_kind::Membership, {}, members}};
    replicated_log_options options;
    options.self = idOf(1);
    return std::move(valueOf(replicated_log::create(options, disk, now)));
}

static bool grantsVote(const std::vector<replicated_log_output> &outputs)
{
    return std::any_of(outputs.begin(), outputs.end(), [](const replicated_log_output &each) {
        const auto *sent = std::get_if<send_log_message>(&each);
        const auto *reply = sent == nullptr ? nullptr : std::get_if<vote_reply>(&sent->message);
        return reply != nullptr && reply->granted;
    });
}

TEST(ReplicatedLog, GrantsNoVoteForAnElectionTimeoutAfterARestart)
{
    const time_point start(std::chrono::hours(1));
    for (const bool preVote : {true, false}) {
        replicated_log log = startReplica(start);
        const log_message_received request{idOf(2), vote_request{log_term(2), log_index(5), log_term(1), preVote, false}};
        EXPECT_FALSE(grantsVote(log.step(request, start + duration(400))));
        EXPECT_TRUE(grantsVote(log.step(request, start + duration(500))));
    }
}

static bool asksForVotes(const std::vector<replicated_log_output> &outputs)
{
    return std::any_of(outputs.begin(), outputs.end(), [](const replicated_log_output &each) {
        const auto *sent = std::get_if<send_log_message>(&each);
        return sent != nullptr && std::holds_alternative<vote_request>(sent->message);
    });
}

// After all replicas had restarted, a pre-vote that came before the others voted again was repeated only after another election timeout or two.
TEST(ReplicatedLog, RepeatsAPreVoteSoonerThanAnElection)
{
    const time_point start(std::chrono::hours(1));
    replicated_log log = startReplica(start);
    time_point askedAt;
    for (duration after{1}; after <= duration(1'000); ++after) {
        if (asksForVotes(log.step(log_tick{}, start + after))) {
            askedAt = start + after;
            break;
        }
    }
    ASSERT_NE(askedAt, time_point());
    bool repeated = false;
    for (duration after{1}; !repeated && after <= duration(250); ++after) {
        repeated = asksForVotes(log.step(log_tick{}, askedAt + after));
    }
    EXPECT_TRUE(repeated);
}

/** Of the first election of a replica that starts in term 1. */
constexpr log_term electionTerm(1 + termSpacing);

TEST(ReplicatedLog, LeaderStepsDownWithoutRepliesFromAQuorum)
{
    time_point now(std::chrono::hours(1));
    replicated_log log = startReplica(now);
    now += duration(1'000);
    log.step(log_tick{}, now);
    log.step(log_message_received{idOf(2), vote_reply{electionTerm, true, true}}, now);
    log.step(log_message_received{idOf(2), vote_reply{electionTerm, true, false}}, now);
    ASSERT_EQ(log.role(), log_role::Leader);
    log.step(log_tick{}, now + duration(499));
    EXPECT_EQ(log.role(), log_role::Leader);
    log.step(log_tick{}, now + duration(500));
    EXPECT_NE(log.role(), log_role::Leader);
}

/** Confirms to the leader whatever it sends to replica 2. */
static void confirmAll(replicated_log &leader, const std::vector<replicated_log_output> &outputs, time_point now)
{
    for (const replicated_log_output &each : outputs) {
        const auto *sent = std::get_if<send_log_message>(&each);
        const auto *request = sent != nullptr && sent->to == idOf(2) ? std::get_if<append_request>(&sent->message) : nullptr;
        if (request != nullptr) {
            const log_index matched(request->previousIndex.value() + request->entries.size());
            confirmAll(leader, leader.step(log_message_received{idOf(2), append_reply{request->term, true, matched, request->round}}, now), now);
        }
    }
}

// The order to start an election is answered without regard to leases; a leader that gave up waiting for it held a lease again meanwhile.
TEST(ReplicatedLog, ALeaderWhoseTransferWasNotTakenUpHoldsNoLeaseInThatTerm)
{
    time_point now(std::chrono::hours(1));
    replicated_log log = startReplica(now);
    now += duration(1'000);
    log.step(log_tick{}, now);
    log.step(log_message_received{idOf(2), vote_reply{electionTerm, true, true}}, now);
    confirmAll(log, log.step(log_message_received{idOf(2), vote_reply{electionTerm, true, false}}, now), now);
    ASSERT_TRUE(log.holdsLeaderLease(now));
    log.step(log_leadership_transfer{}, now);
    for (int beat = 0; beat < 20; ++beat) {
        now += duration(50);
        confirmAll(log, log.step(log_tick{}, now), now);
        EXPECT_FALSE(log.holdsLeaderLease(now) && log.term() == electionTerm) << "after " << (beat + 1) * 50 << " ms";
    }
}

TEST(ReplicatedLog, RejectsAnElectionTimeoutShorterThanThreeHeartbeats)
{
    replicated_log_options options;
    options.heartbeatPeriod = duration(400);
    const auto log = replicated_log::create(options, {}, time_point());
    ASSERT_TRUE(failed(log));
    EXPECT_EQ(errorOf(log).kind, error_kind::InvalidSettings);
}
