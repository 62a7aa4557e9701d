#pragma once

#include <carawayloft/messages/control_messages.h>

#include <variant>

namespace carawayloft {

/** What came of a publication. */
enum class publication_result : std::uint8_t {
    Applied,
    Stale, /**< Not newer than what is in force; passed over. */
    Gap, /**< Changes in between are missing; subscribe again. */
};

/** A process's copy of the configuration: built from publications, never going back. */
class published_fleet
{
public:
    publication_result apply(const publish_snapshot &publication);
    publication_result apply(const publish_change &publication);

    /** Whether a publication confirmed by a quorum has arrived since this process started. */
    bool isConfirmed() const
    {
        return m_confirmed;
    }
    const fleet_state &state() const
    {
        return m_state;
    }

private:
    fleet_state m_state;
    bool m_confirmed = false;
};

} // namespace carawayloft
