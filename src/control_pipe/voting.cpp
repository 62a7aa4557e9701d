#include <carawayloft/control/voting.h>

#include <algorithm>

namespace carawayloft {

std::size_t halfVotesOf(const std::vector<log_member> &members)
{
    std::size_t halfVotes = 0;
    for (const log_member &each : members) {
        halfVotes += halfVotesOf(each.role);
    }
    return halfVotes;
}

bool isQuorum(const std::vector<log_member> &members, const std::set<replica_id> &replicas)
{
    std::size_t counted = 0;
    for (const log_member &each : members) {
        counted += replicas.contains(each.replica) ? halfVotesOf(each.role) : 0;
    }
    return counted * 2 > halfVotesOf(members);
}

static std::size_t leastQuorum(std::size_t halfVotes)
{
    return halfVotes / 2 + 1;
}

/** Half votes that members have after the change and did not have before. */
static std::size_t addedHalfVotes(const std::vector<log_member> &before, const std::vector<log_member> &after)
{
    std::size_t added = 0;
    for (const log_member &each : after) {
        const auto known = std::find_if(before.begin(), before.end(), [&](const log_member &member) { return member.replica == each.replica; });
        const std::size_t had = known == before.end() ? 0 : halfVotesOf(known->role);
        added += halfVotesOf(each.role) - std::min(had, halfVotesOf(each.role));
    }
    return added;
}

bool quorumsIntersect(const std::vector<log_member> &before, const std::vector<log_member> &after)
{
    // Two quorums without a common member would have no more half votes than there are, all counted before the change.
    const std::size_t all = halfVotesOf(before);
    return leastQuorum(all) + leastQuorum(halfVotesOf(after)) > all + addedHalfVotes(before, after);
}

std::size_t halfVotesIn(const availability_zone_id &zone, const std::vector<log_member> &members)
{
    std::size_t halfVotes = 0;
    for (const log_member &each : members) {
        halfVotes += each.zone == zone ? halfVotesOf(each.role) : 0;
    }
    return halfVotes;
}

bool survivesZoneLoss(const std::vector<log_member> &members)
{
    const std::size_t all = halfVotesOf(members);
    return std::all_of(
        members.begin(), members.end(), [&](const log_member &one) { return one.zone.value().empty() || halfVotesIn(one.zone, members) * 2 < all; });
}

} // namespace carawayloft
