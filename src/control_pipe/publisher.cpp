#include <carawayloft/control/publisher.h>

#include <algorithm>

namespace carawayloft {

/** Number of changes kept for subscribers that reconnect; a subscriber further behind gets a snapshot. */
static constexpr std::size_t maxRecentChanges = 1'024;

/** Maximum total size of the configuration documents in them. */
static constexpr std::size_t maxRecentDocumentBytes = std::size_t{2} << 20U;

static std::size_t documentBytes(const publish_change &change)
{
    const auto *put = std::get_if<put_configuration>(&change.command.change);
    return put == nullptr ? 0 : put->configuration.document.size();
}

std::vector<publisher::output> publisher::step(const input &in, time_point now)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { handle(each, now, out); }, in);
    return out;
}

void publisher::handle(const change_committed &in, time_point now, std::vector<output> &out)
{
    if (!m_recentChanges.empty() && m_recentChanges.back().at != in.change.after) {
        m_recentChanges.clear();
        m_recentDocumentBytes = 0;
    }
    m_recentChanges.push_back(in.change);
    m_recentDocumentBytes += documentBytes(in.change);
    while (m_recentChanges.size() > maxRecentChanges || (m_recentDocumentBytes > maxRecentDocumentBytes && m_recentChanges.size() > 1)) {
        m_recentDocumentBytes -= documentBytes(m_recentChanges.front());
        m_recentChanges.pop_front();
    }
    for (const auto &[link, confirmed] : m_subscribers) {
        out.emplace_back(send_publication{link, in.change});
    }
    if (!m_subscribers.empty()) {
        m_pending.emplace(in.change.at, pending_change{now, m_subscribers.size()});
    }
}

void publisher::handle(const subscriber_joined &in, time_point now, std::vector<output> &out)
{
    // Counts the new subscription before removing the old one, so that a resubscription does not complete a pending change.
    for (auto each = m_pending.upper_bound(in.from); each != m_pending.end(); ++each) {
        ++each->second.unconfirmed;
    }
    handle(subscriber_left{in.link}, now, out);
    m_subscribers.emplace(in.link, in.from);
    const auto first = std::find_if(m_recentChanges.begin(), m_recentChanges.end(), [&](const publish_change &each) { return each.after == in.from; });
    if (in.from.value() == 0 || (first == m_recentChanges.end() && in.from != in.fleet.at())) {
        out.emplace_back(send_publication{in.link, publish_snapshot{in.fleet.snapshot()}});
        return;
    }
    for (auto each = first; each != m_recentChanges.end(); ++each) {
        out.emplace_back(send_publication{in.link, *each});
    }
    out.emplace_back(send_publication{in.link, confirm_revision{in.fleet.at()}});
}

void publisher::handle(const subscriber_left &in, time_point now, std::vector<output> &out)
{
    const auto found = m_subscribers.find(in.link);
    if (found != m_subscribers.end() && !m_pending.empty()) {
        recordConfirmation(found->second, m_pending.rbegin()->first, now, out);
    }
    m_subscribers.erase(in.link);
}

void publisher::handle(const subscriber_confirmed &in, time_point now, std::vector<output> &out)
{
    const auto found = m_subscribers.find(in.link);
    if (found != m_subscribers.end() && in.at > found->second) {
        recordConfirmation(found->second, in.at, now, out);
        found->second = in.at;
    }
}

void publisher::handle(const leadership_lost &, time_point, std::vector<output> &)
{
    m_subscribers.clear();
    m_pending.clear();
}

/** Counts the changes after @p after up to @p upTo as confirmed by one subscriber, which confirmed them or left. */
void publisher::recordConfirmation(revision after, revision upTo, time_point now, std::vector<output> &out)
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
