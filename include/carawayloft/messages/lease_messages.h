#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <tuple>
#include <vector>

/** Leases: of a group's members to its lead, and of control to a lead. */
namespace carawayloft {

/** The lead of a group asks a member to stand by it for one lease. */
struct member_lease_request {
    group_id group;
    group_epoch epoch;
    host_id lead;
    std::uint64_t round = 0;

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &member_lease_request::group},
                          field{"epoch", &member_lease_request::epoch},
                          field{"lead", &member_lease_request::lead},
                          field{"round", &member_lease_request::round});
    }
};

/** The member's backend server stands by the lead for @p length from the request on. */
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

/** An agent reports to control and asks for the right to take work. */
struct lease_renewal {
    host_id host;
    incarnation agentIncarnation;
    std::uint64_t round = 0;
    revision at; /**< Revision in force at the agent. */
    group_id group; /**< Group that the agent leads, or zero. */
    group_epoch epoch;
    std::uint32_t running = 0; /**< Requests in flight and waiting at the group. */
    bool backendUp = false;
    bool stopping = false; /**< In a planned stop. */
    std::vector<host_id> missing; /**< Members whose lease has run out. */

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

/** The leader's answer: the agent may take work under @p epoch for @p length from its renewal on. */
struct lease_grant {
    std::uint64_t round = 0;
    group_epoch epoch; /**< Zero when no work may be taken. */
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
