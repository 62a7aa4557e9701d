#include <carawayloft/fleet/backend_view.h>

#include <algorithm>

namespace carawayloft {

void backend_view::apply(const publish_fleet &publication, time_point now)
{
    if (publication.snapshot) {
        m_backends.clear();
        m_groups.clear();
    }
    for (const backend_record &each : publication.backends) {
        m_backends[each.backend] = {each, now + each.coldLeft};
    }
    for (const retired_backend &each : publication.gone) {
        m_backends.erase(each.backend);
    }
    for (const engine_group &each : publication.groups) {
        m_groups[each.epoch] = each;
    }
    for (const retired_group &each : publication.retiredGroups) {
        m_groups.erase(each.epoch);
    }
}

publish_fleet backend_view::snapshot(time_point now) const
{
    publish_fleet publication;
    publication.snapshot = true;
    publication.backends.reserve(m_backends.size());
    for (const auto &[id, each] : m_backends) {
        publication.backends.push_back(each.record);
        publication.backends.back().coldLeft = std::max(duration(0), std::chrono::ceil<duration>(each.coldUntil - now));
    }
    for (const auto &[epoch, group] : m_groups) {
        publication.groups.push_back(group);
    }
    return publication;
}

const backend_view::backend *backend_view::find(const backend_id &backend) const
{
    const auto found = m_backends.find(backend);
    return found == m_backends.end() ? nullptr : &found->second;
}

} // namespace carawayloft
