#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/lease_messages.h>

#include <optional>
#include <variant>

namespace carawayloft {

// Inputs.

/** The group that the published configuration assigns this host to; the group id is zero if there is none. */
struct member_assignment {
    group_id group;
    group_epoch epoch;
    host_id lead;
};

/** Whether the agent's backend server is reachable and has accepted the order for the current epoch. */
struct member_readiness {
    bool ready = false;
};

// Outputs.

enum class lease_refusal : std::uint8_t {
    NotAssigned,
    NotReady,
    LeasedToOtherLead, /**< An earlier lead's lease may still be valid. */
    JustStarted, /**< Leases granted before the restart are unknown and may still be valid. */
};

struct member_lease_refused {
    member_lease_request request;
    lease_refusal reason = lease_refusal::NotAssigned;
};

using member_lease_input = std::variant<member_assignment, member_readiness, member_lease_request>;
using member_lease_output = std::variant<member_lease_grant, member_lease_refused>;

/** The member's side of the leases within a group: grants a lease to one lead at a time. */
class member_lease
{
public:
    using input = member_lease_input;
    using output = member_lease_output;

    member_lease(host_id self, time_point startedAt);

    std::vector<output> step(const input &in, time_point now);

    /** Whether a lease granted by this member may still be valid at @p now. */
    bool isLeased(time_point now) const
    {
        return m_granted && now < m_granted->until;
    }

private:
    struct granted_lease {
        group_id group;
        host_id lead;
        time_point until;
    };

    std::optional<lease_refusal> refusalReason(const member_lease_request &request, time_point now) const;

    host_id m_self;
    time_point m_noGrantUntil;
    member_assignment m_assigned;
    bool m_ready = false;
    std::optional<granted_lease> m_granted;
};

static_assert(filter<member_lease>);

} // namespace carawayloft
