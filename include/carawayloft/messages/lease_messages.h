#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <tuple>
#include <vector>

/** Leases that the members of a group grant to its lead, and that the leader of control grants to agents. */
namespace carawayloft {

/** The lead of a group asks a member for a lease on its backend server. */
struct member_lease_request {
    group_id group;
    group_epoch epoch;
    host_id lead;
    std::uint64_t round = 0; /**< Echoed in the grant. */

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &member_lease_request::group},
                          field{"epoch", &member_lease_request::epoch},
                          field{"lead", &member_lease_request::lead},
                          field{"round", &member_lease_request::round});
    }
};

/** The member's backend server serves no other lead for @p length from the request on. */
struct member_lease_grant {
    group_id group;
    group_epoch epoch;
    host_id member;
    std::uint64_t round = 0;
    duration length{0};

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &member_lease_grant::group},
                          field{"epoch", &member_lease_grant::epoch},
                          field{"member", &member_lease_grant::member},
                          field{"round", &member_lease_grant::round},
                          field{"length_ms", &member_lease_grant::length});
    }
};

/** An agent reports its state to the leader of control and asks for a lease to take work. */
struct lease_renewal {
    host_id host;
    incarnation agentIncarnation;
    std::uint64_t round = 0; /**< Echoed in the grant. */
    revision at; /**< Revision in force at the agent. */
    group_id group; /**< Group that the agent leads, or zero. */
    group_epoch epoch;
    std::uint32_t running = 0; /**< Requests in flight or waiting at the group. */
    bool backendUp = false; /**< Reachable and, in a group, ready for the group's epoch. */
    bool stopping = false; /**< A planned stop has begun. */
    std::vector<host_id> missing; /**< Members whose lease has expired. */

    static constexpr auto fields()
    {
        return std::tuple(field{"host", &lease_renewal::host},
                          field{"incarnation", &lease_renewal::agentIncarnation},
                          field{"round", &lease_renewal::round},
                          field{"revision", &lease_renewal::at},
                          field{"group", &lease_renewal::group},
                          field{"epoch", &lease_renewal::epoch},
                          field{"running", &lease_renewal::running},
                          field{"backend_up", &lease_renewal::backendUp},
                          field{"stopping", &lease_renewal::stopping},
                          field{"missing", &lease_renewal::missing});
    }
};

/** Reply of the leader: the agent may take work under @p epoch for @p length from its renewal on. */
struct lease_grant {
    std::uint64_t round = 0;
    group_epoch epoch; /**< Zero if the agent may take no work. */
    duration length{0};
    revision at;

    static constexpr auto fields()
    {
        return std::tuple(field{"round", &lease_grant::round},
                          field{"epoch", &lease_grant::epoch},
                          field{"length_ms", &lease_grant::length},
                          field{"revision", &lease_grant::at});
    }
};

} // namespace carawayloft
