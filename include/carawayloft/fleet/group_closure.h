#pragma once

#include <carawayloft/control/records.h>
#include <carawayloft/fleet/backend_registry.h>

#include <optional>
#include <set>

namespace carawayloft {

/** What proves that the head of a group does not serve it and will not. */
enum class closure_proof : std::uint8_t {
    None, /**< It may serve: silence proves nothing, since a head that is cut off goes on. */
    Left, /**< Its present run answered that it has left the group, to an order with a higher number than each order to join or open it. */
    Replaced, /**< A server that started later uses its address. */
};

/** Reason for the end of a group, as logged; only for proofs. */
const char *describe(closure_proof proof);

/** A server's answer that it is not in a group. */
struct confirmed_leave {
    backend_id backend;
    group_epoch epoch;
    std::int64_t startedAt = 0; /**< Start of the run that answered. */
    time_point at;
};

/**
 * Decides from evidence which groups are over, and which servers are free. A group is over once its head has left it; a
 * server is free once it has left its group itself. There is no time limit: a group whose head cannot be heard serves for
 * as long as its members stay. An announcement is no evidence, since an order that is carried out late may undo what it
 * says; nor is a start, since a late order may reach the new run. An answer to an order to leave is: the engine refuses
 * all orders with a lower number from then on.
 */
class group_closure
{
public:
    /** Forgets all groups. */
    void clear();

    /** Takes the servers of which earlier leaders may have known an earlier run. */
    void setKnown(const std::vector<backend_id> &servers);

    /** Takes the groups in the replicated log. A server counts as a member of its latest recorded group, even if its last report is older. */
    void setRecords(const std::vector<engine_group_record> &records);

    /** Takes the registry's latest reports; call it before the queries whenever the registry has changed. */
    void observe(const backend_registry &registry);

    /** The head is known not to serve the group, or was never told to; @p head is null if it was never told to, or is not known. */
    void recordEnd(group_epoch epoch, const backend_registry::entry *head = nullptr);

    /** The group was given up, but its head may serve. */
    void recordAbandoned(group_epoch epoch);

    /** A server has answered an order to leave. */
    void recordLeft(const confirmed_leave &leave);

    /** Forgets what servers answered that the registry knows no more. */
    void forgetGone(const backend_registry &registry);

    /** What proves the end of the group; @p head is null if it has not announced itself. */
    closure_proof proofFor(group_epoch epoch, const backend_registry::entry *head) const;

    /** Whether the head has announced that it serves, and nothing later. */
    bool serves(group_epoch epoch) const;

    bool isAbandoned(group_epoch epoch) const;

    /** Whether the head of the group is known not to serve. */
    bool hasEnded(group_epoch epoch) const;

    /** Whether the server may be in the group by its latest record in the log, also if that has been removed since. */
    bool isBoundByRecord(const backend_registry::entry &entry, group_epoch epoch) const;

    /** Whether the server may be in the group, by what it reports or by its record. */
    bool mayBeIn(const backend_registry::entry &entry, group_epoch epoch) const;

    /**
     * Whether a server that reports no group may join one, or have joined one, by an order that an earlier run of it did not
     * answer. It may not if no leader can have ordered an earlier run, or once its present run has answered an order to
     * leave, from which on it refuses older ones. A run whose start this leader has seen must have reported no group after
     * that, since it may have carried out older orders before.
     */
    bool mayJoinLate(const backend_registry::entry &entry) const;

    /** Whether the server has left the group that it last reported; a standby needs not, since its group never opens. */
    bool isOutOfReportedGroup(const backend_registry::entry &entry) const;

    /** Whether the server is not in the group that it reports: it has left it, or was chosen for a later one. */
    bool isReleasedByReport(const backend_registry::entry &entry) const;

    /** The latest recorded group of the server; zero for none. */
    group_epoch recordedEpoch(const backend_id &backend) const;

    /** Whether the server may join another group: it has left the one that it reports and the one that it was last chosen for. */
    bool isReleased(const backend_registry::entry &entry) const;

private:
    /** The run of a head that was known not to serve its group. */
    struct ended_head {
        backend_id backend; /**< Empty if it was never told to serve, or is not known. */
        std::int64_t startedAt = 0;
    };

    /** The latest group in the log that a server is a member of, and the run of the server that was chosen for it. */
    struct recorded_membership {
        group_epoch epoch;
        std::int64_t startedAt = 0;
    };

    void noteRuns(const backend_registry &registry);
    void reopenAfterRestart(group_epoch epoch, const backend_registry &registry);
    const confirmed_leave *findLeave(const backend_registry::entry &entry, group_epoch epoch) const;
    bool hasLeftSince(const backend_registry::entry &entry, group_epoch epoch) const;
    bool hasReportedSinceLeave(const backend_registry::entry &entry) const;
    bool hasLeft(const backend_registry::entry &entry) const;
    bool isReportOutdated(const backend_registry::entry &entry) const;

    std::map<group_epoch, ended_head> m_ended;
    std::set<group_epoch> m_abandoned;
    std::set<group_epoch> m_serving; /**< Groups whose head announces that it serves. */
    std::map<backend_id, std::map<group_epoch, confirmed_leave>> m_left; /**< The latest groups that the last run of each server has left. */
    std::map<backend_id, recorded_membership> m_recorded;
    std::set<backend_id> m_known; /**< Servers that earlier leaders may have known. */
    std::map<backend_id, std::int64_t> m_firstRuns; /**< Start of the first run of each server that this leader has heard of. */
};

} // namespace carawayloft
