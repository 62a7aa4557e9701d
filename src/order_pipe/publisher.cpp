#include <carawayloft/order/publisher.h>

#include <algorithm>

namespace carawayloft {

/** Changes kept for processes that come back; older ones get a snapshot. */
static constexpr std::size_t maxRecent = 1'024;

std::vector<publisher::output> publisher::step(const input &in, time_point now)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { take(each, now, out); }, in);
    return out;
}

void publisher::take(const change_agreed &in, time_point now, std::vector<output> &out)
{
    if (!m_recent.empty() && m_recent.back().at != in.change.after) {
        m_recent.clear();
    }
    m_recent.push_back(in.change);
    if (m_recent.size() > maxRecent) {
        m_recent.pop_front();
    }
    for (const auto &[link, confirmed] : m_subscribers) {
        out.emplace_back(publish_to{link, in.change});
    }
    if (!m_subscribers.empty()) {
        m_pending.emplace(in.change.at, now);
    }
}

void publisher::take(const subscriber_joined &in, time_point, std::vector<output> &out)
{
    m_subscribers.insert_or_assign(in.link, in.from);
    const auto first = std::find_if(m_recent.begin(), m_recent.end(), [&](const publish_change &each) { return each.after == in.from; });
    if (in.from.value() == 0 || (first == m_recent.end() && in.from != in.fleet.at())) {
        out.emplace_back(publish_to{in.link, publish_snapshot{in.fleet.snapshot()}});
        return;
    }
    for (auto each = first; each != m_recent.end(); ++each) {
        out.emplace_back(publish_to{in.link, *each});
    }
    out.emplace_back(publish_to{in.link, confirm_revision{in.fleet.at()}});
}

void publisher::take(const subscriber_left &in, time_point now, std::vector<output> &out)
{
    m_subscribers.erase(in.link);
    reportComplete(now, out);
}

void publisher::take(const subscriber_confirmed &in, time_point now, std::vector<output> &out)
{
    const auto found = m_subscribers.find(in.link);
    if (found != m_subscribers.end()) {
        found->second = std::max(found->second, in.at);
        reportComplete(now, out);
    }
}

void publisher::take(const publishing_ended &, time_point, std::vector<output> &)
{
    m_subscribers.clear();
    m_pending.clear();
}

void publisher::reportComplete(time_point now, std::vector<output> &out)
{
    const auto least
        = std::min_element(m_subscribers.begin(), m_subscribers.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    while (!m_pending.empty() && least != m_subscribers.end() && m_pending.begin()->first <= least->second) {
        const auto [at, since] = *m_pending.begin();
        m_pending.erase(m_pending.begin());
        out.emplace_back(publication_complete{at, std::chrono::duration_cast<duration>(now - since), m_subscribers.size()});
    }
}

} // namespace carawayloft
