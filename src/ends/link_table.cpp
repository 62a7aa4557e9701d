#include "ends/link_table.h"

namespace carawayloft {

link_id link_table::idOf(const std::shared_ptr<frame_link> &link)
{
    const auto [place, isNew] = m_ids.try_emplace(link.get());
    if (isNew) {
        m_last = next(m_last);
        place->second = m_last;
        m_links.emplace(m_last, link);
    }
    return place->second;
}

link_id link_table::remove(const std::shared_ptr<frame_link> &link)
{
    const link_id id = idOf(link);
    m_ids.erase(link.get());
    m_links.erase(id);
    return id;
}

void link_table::send(link_id link, const peer_message &message)
{
    const auto found = m_links.find(link);
    if (found != m_links.end()) {
        found->second->send(message);
    }
}

} // namespace carawayloft
