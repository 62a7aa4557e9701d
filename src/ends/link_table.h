#pragma once

#include "ends/frame_link.h"

#include <map>

namespace carawayloft {

/** Numbers the connections that others made to this process. */
class link_table
{
public:
    /** The number of an open link; a new one gets the next. */
    link_id idOf(const std::shared_ptr<frame_link> &link);

    /** Forgets a closed link and returns the number that it had. */
    link_id remove(const std::shared_ptr<frame_link> &link);

    void send(link_id link, const peer_message &message);

    std::size_t size() const
    {
        return m_links.size();
    }

private:
    link_id m_last;
    std::map<link_id, std::shared_ptr<frame_link>> m_links;
    std::map<frame_link *, link_id> m_ids;
};

} // namespace carawayloft
