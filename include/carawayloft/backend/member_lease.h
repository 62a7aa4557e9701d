#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/lease_messages.h>

#include <optional>
#include <variant>

namespace carawayloft {

// Inputs.

/** The group that the published configuration assigns this host to; zero for none. */
struct member_assignment {
    group_id group;
    group_epoch epoch;
    host_id lead;
};

/** Whether the backend server beside the agent is up and has carried out the epoch's orders. */
struct member_readiness {
    bool ready = false;
};

// Outputs.

enum class lease_refusal : std::uint8_t {
    NotAssigned,
    NotReady,
    LeasedToOtherLead, /**< An earlier lead may still rely on this member. */
    JustStarted, /**< What was grantorLeaseTime before the restart is not known. */
};

struct member_lease_refused {
    member_lease_request request;
    lease_refusal reason = lease_refusal::NotAssigned;
};

using member_lease_input = std::variant<member_assignment, member_readiness, member_lease_request>;
using member_lease_output = std::variant<member_lease_grant, member_lease_refused>;

/** The member's side of a group's leases: stands by one lead at a time. */
class member_lease
{
public:
    using input = member_lease_input;
    using output = member_lease_output;

    member_lease(host_id self, time_point startedAt);

    std::vector<output> step(const input &in, time_point now);

    /** Whether a lead may still rely on this member. */
    bool isLeased(time_point now) const
    {
        return m_granted && now < m_granted->until;
    }

private:
    struct promise {
        group_id group;
        host_id lead;
        time_point until;
    };

    std::optional<lease_refusal> refusal(const member_lease_request &request, time_point now) const;

    host_id m_self;
    time_point m_noGrantUntil;
    member_assignment m_assigned;
    bool m_ready = false;
    std::optional<promise> m_granted;
};

static_assert(filter<member_lease>);

} // namespace carawayloft
