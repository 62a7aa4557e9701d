#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/control_traffic.h>

#include <variant>

namespace carawayloft {

/** A process's copy of the fleet state, built from publications. Its revision never decreases. */
class published_fleet
{
public:
    using input = std::variant<publish_snapshot, publish_change>;
    using output = std::variant<send_to_control, resubscribe, revision_in_force, revision_ignored>;

    std::vector<output> step(const input &in, time_point now);

    /** Whether a snapshot, which the leader sends only after a confirmed read, has arrived since this process started. */
    bool isConfirmed() const
    {
        return m_confirmed;
    }
    const fleet_state &state() const
    {
        return m_state;
    }

private:
    std::vector<output> handle(const publish_snapshot &in);
    std::vector<output> handle(const publish_change &in);
    std::vector<output> confirmApplied() const;

    fleet_state m_state;
    bool m_confirmed = false;
};

static_assert(filter<published_fleet>);

} // namespace carawayloft
