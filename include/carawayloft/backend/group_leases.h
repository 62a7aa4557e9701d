#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/lease_messages.h>

#include <map>
#include <set>
#include <variant>

namespace carawayloft {

// Inputs.

/** The group that this host leads, with its other members; an empty group for none. */
struct led_group {
    group_id group;
    group_epoch epoch;
    std::vector<host_id> others;
};

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

/** The lead's side of a group's leases: the group may speak only while every member stands by it. */
class group_leases
{
public:
    using input = group_leases_input;
    using output = group_leases_output;

    explicit group_leases(host_id self);

    std::vector<output> step(const input &in, time_point now);

    /** Whether every other member's lease holds at @p now; pending before each write to a caller. */
    bool isComplete(time_point now) const;

    std::vector<host_id> missing(time_point now) const;

private:
    struct member_state {
        time_point reliedUntil;
        std::map<std::uint64_t, time_point> pending; /**< Rounds without an answer yet, by when they were pending. */
    };

    void handle(const led_group &in, time_point now, std::vector<output> &out);
    void handle(const lease_tick &in, time_point now, std::vector<output> &out);
    void handle(const member_lease_grant &in, time_point now, std::vector<output> &out);

    host_id m_self;
    led_group m_led;
    std::uint64_t m_round = 0;
    std::map<host_id, member_state> m_members;
    bool m_wasWhole = false;
};

static_assert(filter<group_leases>);

} // namespace carawayloft
