#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <optional>

namespace carawayloft {

/** This gateway's place among the turns, as control gives it. */
struct turn_assignment {
    std::uint32_t place = 0;
    std::uint32_t places = 1; /**< Greater than any place in use. */
    duration clock{0}; /**< Time of control; the same for all gateways. */
};

/**
 * Turns of gateways at servers that take fewer requests a second than there are gateways. At any time a run of neighbouring
 * places has its turn at a server. The runs move over all places at a steady pace and differ between servers, so a gateway
 * that has no turn at one server has one at others.
 */
class server_turns
{
public:
    /** Most places that enter a run within a second, with one more for gateways whose clocks differ a little. */
    static constexpr std::uint32_t entriesPerSecond = 5;

    /** Takes the assignment of a grant. */
    void assign(const turn_assignment &assignment, time_point now);

    bool isAssigned() const
    {
        return m_assignment.has_value();
    }

    /** Whether this gateway is one of the @p active gateways that have their turn at the server. */
    bool hasTurn(const backend_id &backend, std::uint32_t active, time_point now) const;

    /** Whether the turns of this gateway have been the same sequence for a while; if not, others may still use an earlier sequence. */
    bool isSettled(time_point now) const;

private:
    std::optional<turn_assignment> m_assignment;
    time_point m_assignedAt;
    time_point m_settledFrom;
};

} // namespace carawayloft
