#include <carawayloft/gateway/backend_notices.h>

#include <algorithm>
#include <utility>

namespace carawayloft {

/** The notice of this start of the server; an earlier start's is dropped. */
backend_notices::notice &backend_notices::noticeOf(const backend_id &backend, std::int64_t startedAt)
{
    notice &current = m_notices[backend];
    if (current.startedAt != startedAt) {
        current = {startedAt, false, {}};
    }
    return current;
}

bool backend_notices::recordLeaving(const backend_id &backend, std::int64_t startedAt)
{
    return !std::exchange(noticeOf(backend, startedAt).leaves, true);
}

void backend_notices::recordRefusal(const backend_id &backend, std::int64_t startedAt, duration length, time_point now)
{
    notice &current = noticeOf(backend, startedAt);
    current.refusesUntil = std::max(current.refusesUntil, now + length);
}

const backend_notices::notice *backend_notices::find(const backend_record &record) const
{
    const auto found = m_notices.find(record.backend);
    return found == m_notices.end() || found->second.startedAt != record.startedAt ? nullptr : &found->second;
}

bool backend_notices::isLeaving(const backend_record &record) const
{
    const notice *known = find(record);
    return known != nullptr && known->leaves;
}

bool backend_notices::refuses(const backend_record &record, time_point now) const
{
    const notice *known = find(record);
    return known != nullptr && now < known->refusesUntil;
}

void backend_notices::forget(const backend_id &backend)
{
    m_notices.erase(backend);
}

std::vector<leaving_backend> backend_notices::leaving() const
{
    std::vector<leaving_backend> out;
    for (const auto &[backend, each] : m_notices) {
        if (each.leaves) {
            out.push_back({backend, each.startedAt});
        }
    }
    return out;
}

} // namespace carawayloft
