#include <carawayloft/order/publisher.h>

#include <algorithm>

namespace carawayloft {

/** Changes kept for processes that come back; older ones get a snapshot. */
static constexpr std::size_t maxRecent = 1'024;

/** Bytes of configurations kept among them. */
static constexpr std::size_t maxRecentBytes = std::size_t{2} << 20U;

static std::size_t documentBytes(const publish_change &change)
{
    const auto *put = std::get_if<put_configuration>(&change.command.change);
    return put == nullptr ? 0 : put->configuration.document.size();
}

std::vector<publisher::output> publisher::step(const input &in, time_point now)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { take(each, now, out); }, in);
    return out;
}

void publisher::take(const change_committed &in, time_point now, std::vector<output> &out)
{
    if (!m_recent.empty() && m_recent.back().at != in.change.after) {
        m_recent.clear();
        m_recentBytes = 0;
    }
    m_recent.push_back(in.change);
    m_recentBytes += documentBytes(in.change);
    while (m_recent.size() > maxRecent || (m_recentBytes > maxRecentBytes && m_recent.size() > 1)) {
        m_recentBytes -= documentBytes(m_recent.front());
        m_recent.pop_front();
    }
    for (const auto &[link, confirmed] : m_subscribers) {
        out.emplace_back(send_publication{link, in.change});
    }
    if (!m_subscribers.empty()) {
        m_pending.emplace(in.change.at, pending_change{now, m_subscribers.size()});
    }
}

void publisher::take(const subscriber_joined &in, time_point now, std::vector<output> &out)
{
    // Counted anew before it is taken off, so that a subscriber that asks again completes nothing.
    for (auto each = m_pending.upper_bound(in.from); each != m_pending.end(); ++each) {
        ++each->second.unconfirmed;
    }
    take(subscriber_left{in.link}, now, out);
    m_subscribers.emplace(in.link, in.from);
    const auto first = std::find_if(m_recent.begin(), m_recent.end(), [&](const publish_change &each) { return each.after == in.from; });
    if (in.from.value() == 0 || (first == m_recent.end() && in.from != in.fleet.at())) {
        out.emplace_back(send_publication{in.link, publish_snapshot{in.fleet.snapshot()}});
        return;
    }
    for (auto each = first; each != m_recent.end(); ++each) {
        out.emplace_back(send_publication{in.link, *each});
    }
    out.emplace_back(send_publication{in.link, confirm_revision{in.fleet.at()}});
}

void publisher::take(const subscriber_left &in, time_point now, std::vector<output> &out)
{
    const auto found = m_subscribers.find(in.link);
    if (found != m_subscribers.end() && !m_pending.empty()) {
        settle(found->second, m_pending.rbegin()->first, now, out);
    }
    m_subscribers.erase(in.link);
}

void publisher::take(const subscriber_confirmed &in, time_point now, std::vector<output> &out)
{
    const auto found = m_subscribers.find(in.link);
    if (found != m_subscribers.end() && in.at > found->second) {
        settle(found->second, in.at, now, out);
        found->second = in.at;
    }
}

void publisher::take(const leadership_lost &, time_point, std::vector<output> &)
{
    m_subscribers.clear();
    m_pending.clear();
}

/** One subscriber no longer stands in the way of the changes behind @p after up to @p upTo. */
void publisher::settle(revision after, revision upTo, time_point now, std::vector<output> &out)
{
    const auto end = m_pending.upper_bound(upTo);
    for (auto each = m_pending.upper_bound(after); each != end;) {
        if (--each->second.unconfirmed > 0) {
            ++each;
            continue;
        }
        out.emplace_back(publication_complete{each->first, std::chrono::duration_cast<duration>(now - each->second.since), m_subscribers.size()});
        each = m_pending.erase(each);
    }
}

} // namespace carawayloft
