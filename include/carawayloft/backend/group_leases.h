#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/lease_messages.h>

#include <map>
#include <set>
#include <variant>

namespace carawayloft {

// Inputs.

/** The group that this host leads and its other members; the group id is zero if it leads none. */
struct led_group {
    group_id group;
    group_epoch epoch;
    std::vector<host_id> others;
};

/** Requests a lease from every other member. */
struct lease_tick {
};

// Outputs.

struct request_member_lease {
    host_id member;
    member_lease_request request;
};

struct group_complete {
    group_id group;
};

struct group_incomplete {
    group_id group;
    std::vector<host_id> missing;
};

using group_leases_input = std::variant<led_group, lease_tick, member_lease_grant>;
using group_leases_output = std::variant<request_member_lease, group_complete, group_incomplete>;

/**
 * The lead's side of the leases within a group. The lead may accept requests and send answers only while
 * it holds a lease from every other member.
 */
class group_leases
{
public:
    using input = group_leases_input;
    using output = group_leases_output;

    explicit group_leases(host_id self);

    std::vector<output> step(const input &in, time_point now);

    /** Whether the leases of all other members are valid at @p now; checked before each write to a caller. */
    bool isComplete(time_point now) const;

    /** The members whose lease is not valid at @p now. */
    std::vector<host_id> missing(time_point now) const;

private:
    struct member_state {
        time_point leaseUntil;
        std::map<std::uint64_t, time_point> pending; /**< Send times of unanswered requests, by round. */
    };

    void handle(const led_group &in, time_point now, std::vector<output> &out);
    void handle(const lease_tick &in, time_point now, std::vector<output> &out);
    void handle(const member_lease_grant &in, time_point now, std::vector<output> &out);

    host_id m_self;
    led_group m_ledGroup;
    std::uint64_t m_round = 0;
    std::map<host_id, member_state> m_members;
    bool m_wasComplete = false;
};

static_assert(filter<group_leases>);

} // namespace carawayloft
