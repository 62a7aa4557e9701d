#include <carawayloft/request/published_fleet.h>

namespace carawayloft {

publication_result published_fleet::apply(const publish_snapshot &publication)
{
    const bool first = !m_confirmed;
    if (!first && publication.fleet.at <= m_state.at()) {
        return publication_result::Stale;
    }
    m_confirmed = true;
    return m_state.restore(publication.fleet) ? publication_result::Applied : publication_result::Stale;
}

publication_result published_fleet::apply(const publish_change &publication)
{
    if (publication.at <= m_state.at()) {
        return publication_result::Stale;
    }
    if (!m_confirmed || publication.after != m_state.at()) {
        return publication_result::Gap;
    }
    // A refusal is part of the agreed history, and changes nothing here either.
    (void)m_state.apply(publication.command, publication.at);
    return publication_result::Applied;
}

} // namespace carawayloft
