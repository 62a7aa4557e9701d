#include <carawayloft/fleet/capacity_estimate.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Bounds of the factor: a report that is wrong by far must neither stop the service nor overload it for long. */
static constexpr double minFactor = 0.25;
static constexpr double maxFactor = 2.0;

/** Late answers that are tolerated, as a fraction: reducing the load further would lose more answers than it would bring back on time. */
static constexpr double toleratedLateShare = 0.05;

/** Fewer answers than this within a second say little about the share on time. */
static constexpr double minAnswers = 15.0;

/** Share of late answers beyond that of the median group from which a group is stalled: no load makes a single group that late. */
static constexpr double stalledExcess = 0.5;

/** Load over capacity from which on answers on time show that there is room for more. */
static constexpr double informativeLoad = 0.85;

/** Load over capacity below which answers tell nothing: late ones have another cause, such as a lost server. */
static constexpr double minAnsweredLoad = 0.6;

/** Standard deviations by which late answers have to exceed the tolerance: of a few answers one or two are late by chance. */
static constexpr double requiredDeviations = 1.64;

/** Admitted rate over capacity beyond which late answers only show that too much was admitted. */
static constexpr double exceededLoad = 1.15;

/** Time until answers show the effect of a change: the window of the outcomes, and reports and grants on their way. */
static constexpr duration settlingTime{1'250};

/** Fall of the sustained factor for each part of answers that is late beyond the tolerance. */
static constexpr double sustainedDecline = 0.3;

/** Distance that is kept from the sustained factor, at which answers begin to be late. */
static constexpr double sustainedMargin = 0.95;

/** Further reduction until the backlog of prompts is read, for each part of answers that is late beyond the tolerance. */
static constexpr double backlogReduction = 0.8;

/** Time constant of the return to the sustained factor. */
static constexpr std::chrono::duration<double> recoveryTime{0.7};

/** Growth per second beyond it, at first and at most, and the time without late answers that doubles it. */
static constexpr double initialGrowthPerSecond = 0.02;
static constexpr double maxGrowthPerSecond = 0.1;
static constexpr std::chrono::duration<double> growthDoublingTime{8.0};

/** Time constant of the return to one while nothing can be learned. */
static constexpr std::chrono::duration<double> agingTime{30.0};

/** Longest time that one observation stands for. */
static constexpr std::chrono::duration<double> maxStep{0.5};

static double partOf(std::chrono::duration<double> step, std::chrono::duration<double> time)
{
    return std::min(1.0, step / time);
}

static double lateShareOf(const group_outcome &outcome)
{
    return outcome.answered > 0.0 ? std::min(1.0, outcome.late / outcome.answered) : 0.0;
}

/** Removes groups that are late far more often than the median group, and those without answers. */
static void removeStalledGroups(std::vector<group_outcome> &groups)
{
    std::erase_if(groups, [](const group_outcome &each) { return each.answered <= 0.0; });
    if (groups.size() < 2) {
        return;
    }
    const auto middle = groups.begin() + static_cast<std::ptrdiff_t>((groups.size() - 1) / 2);
    std::nth_element(groups.begin(), middle, groups.end(), [](const auto &one, const auto &other) { return lateShareOf(one) < lateShareOf(other); });
    const double limit = lateShareOf(*middle) + stalledExcess;
    std::erase_if(groups, [&](const group_outcome &each) { return lateShareOf(each) > limit; });
}

/** Least share of late answers that the observed ones show, beyond chance. */
static double certainLateShare(const group_outcome &outcome)
{
    const double share = lateShareOf(outcome);
    return std::max(0.0, share - requiredDeviations * std::sqrt(share * (1.0 - share) / outcome.answered));
}

static group_outcome sumOf(const std::vector<group_outcome> &groups)
{
    group_outcome sum;
    for (const group_outcome &each : groups) {
        sum.answered += each.answered;
        sum.late += std::min(each.late, each.answered);
    }
    return sum;
}

capacity_estimate::capacity_estimate(double factor)
    : m_factor(std::isfinite(factor) ? std::clamp(factor, minFactor, maxFactor) : 1.0)
    , m_sustainedFactor(m_factor)
{
}

bool capacity_estimate::hasSettled(time_point now) const
{
    return now >= std::max(m_loweredAt, m_exceededAt) + settlingTime;
}

void capacity_estimate::record(const capacity_observation &seen, time_point now)
{
    const bool isFirst = m_recordedAt == time_point();
    const auto step = isFirst ? std::chrono::duration<double>(0) : std::min<std::chrono::duration<double>>(now - m_recordedAt, maxStep);
    m_recordedAt = now;
    if (isFirst) {
        m_loweredAt = now;
    }
    const group_outcome all = sumOf(seen.groups);
    std::vector<group_outcome> soundGroups = seen.groups;
    removeStalledGroups(soundGroups);
    const group_outcome sound = sumOf(soundGroups);
    const bool hasEnough = sound.answered >= minAnswers;
    const double lateShare = hasEnough ? certainLateShare(sound) : 0.0;
    m_onTimeShare = all.answered >= minAnswers ? 1.0 - lateShareOf(all) : 1.0;
    if (seen.publishedCapacity <= 0.0) {
        return;
    }
    const double capacity = m_factor * seen.publishedCapacity;
    if (all.answered > exceededLoad * capacity) {
        m_exceededAt = now;
    }
    if (lateShare > toleratedLateShare) {
        if (all.answered >= minAnsweredLoad * capacity) {
            lower(lateShare, now);
        }
    } else if (hasEnough && seen.demand > informativeLoad * capacity) {
        recover(step);
        if (all.answered >= minAnsweredLoad * capacity) {
            grow(lateShare, step, now);
        }
    } else {
        age(step);
    }
    m_factor = std::clamp(m_factor, minFactor, maxFactor);
}

void capacity_estimate::lower(double lateShare, time_point now)
{
    if (!hasSettled(now)) {
        return;
    }
    const double excess = (lateShare - toleratedLateShare) / (1.0 - toleratedLateShare);
    if (m_factor <= m_sustainedFactor) {
        m_sustainedFactor = std::max(minFactor, m_sustainedFactor * (1.0 - sustainedDecline * excess));
    }
    // Higher than after an earlier reduction if fewer answers are late: less of the backlog is left.
    m_factor = m_sustainedFactor * sustainedMargin * (1.0 - backlogReduction * excess);
    m_loweredAt = now;
}

/** Returns to the sustained factor. */
void capacity_estimate::recover(std::chrono::duration<double> step)
{
    const double goal = sustainedMargin * m_sustainedFactor;
    if (m_factor < goal) {
        m_factor += (goal - m_factor) * partOf(step, recoveryTime);
    }
}

void capacity_estimate::grow(double lateShare, std::chrono::duration<double> step, time_point now)
{
    const std::chrono::duration<double> timeWithoutLateAnswers = now - std::max(m_loweredAt, m_exceededAt);
    const double growth = std::min(maxGrowthPerSecond, initialGrowthPerSecond * std::exp2(timeWithoutLateAnswers / growthDoublingTime));
    m_factor *= std::exp(growth * (1.0 - lateShare / toleratedLateShare) * step.count());
    if (hasSettled(now)) {
        m_sustainedFactor = std::max(m_sustainedFactor, m_factor);
    }
}

void capacity_estimate::age(std::chrono::duration<double> step)
{
    m_factor += (1.0 - m_factor) * partOf(step, agingTime);
    m_sustainedFactor += (1.0 - m_sustainedFactor) * partOf(step, agingTime);
}

} // namespace carawayloft
