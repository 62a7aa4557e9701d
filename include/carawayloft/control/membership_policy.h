#pragma once

#include <carawayloft/control/log_entry.h>
#include <carawayloft/core/units.h>

#include <map>
#include <optional>
#include <vector>

/** Decides which replicas vote, from what the leader of the log observes of them. It has no state and sends nothing. */
namespace carawayloft {

/** What the leader observes of a member of the log. */
struct member_observation {
    duration silence{0}; /**< Since the last reply. */
    duration knownFor{0}; /**< Time for which this leader has sent it the log. */
    bool isCaughtUp = false; /**< It has all but the latest entries. */
};

struct membership_observation {
    replica_id leader;
    std::vector<log_member> members; /**< In the order in which they joined. */
    std::map<replica_id, member_observation> others; /**< All members but the leader. */
};

struct membership_policy_options {
    duration responseTimeout{0}; /**< A replica that has been silent for this long is given no vote. */
    std::size_t maxVoters = 0; /**< Learners become additional voters up to this number. */
};

/**
 * The next membership on the way to the best fault tolerance, or nothing if the present one is to stay. It differs
 * from the present one in at most one whole vote, so that quorums of both intersect.
 */
std::optional<std::vector<log_member>> nextMembership(const membership_observation &observed, const membership_policy_options &options);

} // namespace carawayloft
