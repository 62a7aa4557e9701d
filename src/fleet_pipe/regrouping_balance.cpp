#include <carawayloft/fleet/regrouping_balance.h>

#include <algorithm>
#include <utility>

namespace carawayloft {

/** Longest time that one record stands for: a controller that paused has not seen the demand meanwhile. */
static constexpr std::chrono::duration<double> maxStep{0.5};

/** Time for which a regrouping counts as recent, several periods of a wave of the demand. */
static constexpr duration reversalMemory{60'000};

/** Time for which the gain of undoing a recent regrouping must last: demand that rises and falls with a period below twice that never shows it. */
static constexpr duration reversalDelay{10'000};

void regrouping_balance::record(const std::vector<regrouping_gain> &gains, time_point now)
{
    const double step = std::clamp<std::chrono::duration<double>>(now - m_recordedAt, std::chrono::duration<double>(0), maxStep).count();
    m_recordedAt = now;
    std::map<regrouping_direction, missed_gain> missed;
    for (const regrouping_gain &each : gains) {
        const auto before = m_missed.find(each.direction);
        missed_gain next = before == m_missed.end() ? missed_gain() : before->second;
        if (before != m_missed.end()) {
            next.sum = std::max(0.0, next.sum + each.gainPerSecond * step);
        }
        if (each.gainPerSecond > 0.0) {
            next.since = next.since.value_or(now);
        } else if (std::exchange(next.since, std::nullopt)) {
            recordTurn(each.direction, now);
        }
        missed[each.direction] = next;
    }
    m_missed = std::move(missed);
    std::erase_if(m_regroupedAt, [now](const auto &each) { return now >= each.second + reversalMemory; });
}

/** The demand has turned back before a regrouping in this direction was worth its cost: it goes on as a wave. */
void regrouping_balance::recordTurn(const regrouping_direction &direction, time_point now)
{
    const auto reverse = m_regroupedAt.find({direction.to, direction.from});
    if (reverse != m_regroupedAt.end()) {
        reverse->second = now;
    }
}

bool regrouping_balance::isWorth(const regrouping_direction &direction, double cost, time_point now) const
{
    const auto found = m_missed.find(direction);
    if (found == m_missed.end() || found->second.sum < cost) {
        return false;
    }
    const auto reverse = m_regroupedAt.find({direction.to, direction.from});
    const bool undoesRecent = reverse != m_regroupedAt.end() && now < reverse->second + reversalMemory;
    return !undoesRecent || (found->second.since && now >= *found->second.since + reversalDelay);
}

void regrouping_balance::regrouped(const regrouping_direction &direction, time_point now)
{
    m_regroupedAt[direction] = now;
    m_missed.clear();
}

} // namespace carawayloft
