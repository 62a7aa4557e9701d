#pragma once

#include <carawayloft/control/log_entry.h>

#include <cstddef>
#include <set>
#include <vector>

/**
 * Votes of the members of the replicated log, counted in halves. A vote moves from one replica to another in two
 * steps, and the number of votes stays the same on the way.
 */
namespace carawayloft {

/** Number of half votes of a member with this role. */
constexpr std::size_t halfVotesOf(member_role role)
{
    switch (role) {
    case member_role::Voter:
        return 2;
    case member_role::HalfVoter:
        return 1;
    case member_role::Learner:
    case member_role::Retired:
        return 0;
    }
    return 0;
}

/** Number of half votes of all members. */
std::size_t halfVotesOf(const std::vector<log_member> &members);

/** Number of half votes of the members in an availability zone. */
std::size_t halfVotesIn(const availability_zone_id &zone, const std::vector<log_member> &members);

/** Whether these replicas have more than half of the votes. */
bool isQuorum(const std::vector<log_member> &members, const std::set<replica_id> &replicas);

/**
 * Whether every quorum of one membership has a replica in common with every quorum of the other one, so that one may
 * follow the other in the log. True if one half vote moves, up to two are added or up to two taken away; where the half
 * votes are an odd number before, if one is added or taken away.
 */
bool quorumsIntersect(const std::vector<log_member> &before, const std::vector<log_member> &after);

/** Whether a quorum remains after the loss of any one availability zone. Members without a known zone count as no zone. */
bool survivesZoneLoss(const std::vector<log_member> &members);

} // namespace carawayloft
