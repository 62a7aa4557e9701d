#include <carawayloft/control/published_fleet.h>

namespace carawayloft {

std::vector<published_fleet::output> published_fleet::step(const input &in, time_point)
{
    return std::visit([this](const auto &each) { return handle(each); }, in);
}

std::vector<published_fleet::output> published_fleet::confirmApplied() const
{
    return {send_to_control{confirm_revision{m_state.at()}}, revision_in_force{m_state.at()}};
}

std::vector<published_fleet::output> published_fleet::handle(const publish_snapshot &in)
{
    if (m_confirmed && in.fleet.at <= m_state.at()) {
        return {revision_ignored{in.fleet.at, m_state.at()}};
    }
    m_confirmed = true;
    m_state.restore(in.fleet);
    return confirmApplied();
}

std::vector<published_fleet::output> published_fleet::handle(const publish_change &in)
{
    if (in.at <= m_state.at()) {
        return {revision_ignored{in.at, m_state.at()}};
    }
    if (!m_confirmed || in.after != m_state.at()) {
        return {resubscribe{m_state.at()}};
    }
    // A rejected command is rejected at every replica and subscriber alike, and only advances the revision.
    (void)m_state.apply(in.command, in.at);
    return confirmApplied();
}

} // namespace carawayloft
