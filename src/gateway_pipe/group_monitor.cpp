#include <carawayloft/gateway/group_monitor.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Silence beyond an iteration that is normal: standard deviations of its length, and a margin for the network. */
static constexpr double silentDeviations = 2.5;
static constexpr engine_duration silenceMargin{20};

/** Iterations without an event that are normal while no answer for this gateway has begun: the rest of one, and the next. */
static constexpr double iterationsToFirstEvent = 2.0;

/** Minimum silence before a probe: reading long prompts of other gateways takes this long. */
static constexpr engine_duration minSuspectSilence{70};

/** Silence that moves streams without a probe: a multiple of the silence before a probe, and a minimum. */
static constexpr double stallFactor = 4.0;
static constexpr engine_duration minStallSilence{900};

/** Minimum time between two probes of a silent group. */
static constexpr duration probeInterval{200};

/** Every probe raises the silence before the next one and progress lowers it again, since probes of a merely busy group find nothing. */
static constexpr double silenceFactorGrowth = 1.3;
static constexpr double silenceFactorDecay = 0.998;
static constexpr double maxSilenceFactor = 2.2;

/** Weight of the newest iteration in the average iteration times of a group, and the largest slowdown. */
static constexpr double iterationWeight = 0.1;
static constexpr double maxSlowdown = 8.0;

/** Window of the reported rate of prompt tokens. */
static constexpr duration rateWindow{1'000};

/** Time after the first call to a group in which reports do not cover the load of other gateways yet. */
static constexpr duration firstReportTime{700};

/** Largest share of an iteration that reading prompts is taken to need in steady state. */
static constexpr double maxPrefillShare = 0.9;

/** Average age of the load of other gateways when control passes it on: half the interval of their reports. */
static constexpr duration meanReportAge{125};

/** Time for which a group counts as progressing after it has sent bytes. */
static constexpr duration progressWindow{1'000};

group_monitor::group_monitor(const engine_profile &engine, const model_profile &model, time_point now)
    : m_engine(engine)
    , m_model(model)
    , m_answered(rateWindow)
    , m_late(rateWindow)
    , m_firstCallAt(now)
    , m_othersUpdatedAt(now)
    , m_progressAt(now)
{
}

void group_monitor::addCall(backend_call_id call, token_count promptTokens, time_point now)
{
    if (m_calls.empty()) {
        m_progressAt = now;
    }
    if (!m_hasHadCall) {
        m_hasHadCall = true;
        m_firstCallAt = now;
    }
    m_calls[call] = {promptTokens, now, false};
    m_recentPrompts.emplace_back(now, promptTokens);
    while (now >= m_recentPrompts.front().first + rateWindow) {
        m_recentPrompts.pop_front();
    }
}

void group_monitor::recordProgress(backend_call_id call, time_point now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    const engine_duration elapsed = now - m_progressAt;
    const engine_duration expectedIteration = currentIterationTime(now) / m_slowdown;
    // Events of one iteration arrive together; the shortest iteration reads no prompt.
    const engine_duration shortestIteration = iterationTime(m_engine, m_model, {static_cast<double>(estimatedRunning(now)), 0.0});
    if (elapsed > shortestIteration / 2.0) {
        m_observedIteration += iterationWeight * (std::min(elapsed, expectedIteration * maxSlowdown) - m_observedIteration);
        m_expectedIteration += iterationWeight * (expectedIteration - m_expectedIteration);
        m_slowdown = std::max(1.0, m_observedIteration / m_expectedIteration);
        const double deviation = std::min(elapsed.count(), maxSlowdown * expectedIteration.count()) - m_slowdown * expectedIteration.count();
        m_iterationVariance += iterationWeight * (deviation * deviation - m_iterationVariance);
    }
    m_silenceFactor = std::max(1.0, m_silenceFactor * silenceFactorDecay);
    found->second.answerStarted = true;
    m_progressAt = now;
}

void group_monitor::removeCall(backend_call_id call)
{
    m_calls.erase(call);
}

void group_monitor::recordAnswer(time_point now)
{
    m_answered.add(now);
}

void group_monitor::recordLateAnswer(time_point now)
{
    m_late.add(now);
}

void group_monitor::updateOtherGateways(const group_load &others, std::uint32_t gateways, time_point now)
{
    m_others = others;
    m_otherGateways = gateways;
    m_othersUpdatedAt = now;
}

void group_monitor::restartSilence(time_point now)
{
    m_progressAt = now;
}

/** Tokens of this gateway's prompts sent after @p from, up to @p to, whose answer has not started. */
std::uint32_t group_monitor::ownPrefillTokens(time_point from, time_point to) const
{
    std::uint32_t sum = 0;
    for (const auto &[call, each] : m_calls) {
        sum += each.answerStarted || each.sentAt <= from || each.sentAt > to ? 0 : each.promptTokens;
    }
    return sum;
}

/** Whether the group is so new that other gateways may have sent there without a report of it yet. */
bool group_monitor::isOtherLoadUnknown(time_point now) const
{
    return m_others.running == 0 && (!m_hasHadCall || now < m_firstCallAt + firstReportTime);
}

/** Factor from the load of this gateway to the load of all; other gateways are assumed to send as much while their load is unknown. */
double group_monitor::ownLoadFactor(time_point now) const
{
    return isOtherLoadUnknown(now) ? m_otherGateways + 1.0 : 1.0;
}

std::uint32_t group_monitor::estimatedRunning(time_point now) const
{
    return m_others.running + static_cast<std::uint32_t>(ownLoadFactor(now) * static_cast<double>(m_calls.size()));
}

/** Prompt tokens that other gateways send to the group in this time. */
double group_monitor::otherTokens(duration time) const
{
    return m_others.tokensPerSecond * std::chrono::duration<double>(time).count();
}

/** Unread prompt tokens of other gateways that are left of those last reported. */
double group_monitor::otherBacklog(time_point now) const
{
    const duration age = std::min(loadAge(now) + meanReportAge, rateWindow);
    const double read = m_engine.prefillTokensPerSecond.value() / m_model.pace.value() * std::chrono::duration<double>(age).count();
    return std::max(0.0, m_others.prefillTokens + otherTokens(age) - read);
}

/** Length of an iteration in steady state: it reads the prompts that arrived during the one before. */
engine_duration group_monitor::typicalIterationTime(time_point now) const
{
    const double tokensPerSecond = m_others.tokensPerSecond + static_cast<double>(promptTokensSince(now - rateWindow));
    const double prefillShare = std::min(maxPrefillShare, tokensPerSecond * m_model.pace.value() / m_engine.prefillTokensPerSecond.value());
    const engine_duration steps = iterationTime(m_engine, m_model, {static_cast<double>(estimatedRunning(now)), 0.0});
    const engine_duration longest = iterationTime(m_engine, m_model, {static_cast<double>(estimatedRunning(now)), prefillTokensPerIteration(m_engine)});
    return std::min(longest, steps / (1.0 - prefillShare));
}

/** Time since the current iteration began; half of a typical one while no answer for this gateway shows the end of iterations. */
duration group_monitor::iterationAge(time_point now) const
{
    const duration typical = ceilDuration(typicalIterationTime(now));
    return hasAnswer() ? std::min(typical, silence(now)) : typical / 2;
}

/** Whether an answer for this gateway has begun, so that every iteration brings an event. */
bool group_monitor::hasAnswer() const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [](const auto &each) { return each.second.answerStarted; });
}

group_monitor::unread_prompts group_monitor::estimatedUnread(time_point now) const
{
    const double factor = ownLoadFactor(now);
    const duration age = iterationAge(now);
    const double arrivedSince = otherTokens(age);
    const double arrivedBefore = otherTokens(ceilDuration(typicalIterationTime(now)));
    const double others = std::max(arrivedBefore + arrivedSince, otherBacklog(now));
    const double current = factor * ownPrefillTokens(time_point::min(), now - age) + std::max(arrivedBefore, others - arrivedSince);
    const double read = std::min(current, prefillTokensPerIteration(m_engine));
    return {read, current - read + factor * ownPrefillTokens(now - age, now) + arrivedSince};
}

/** Expected length of the current iteration. */
engine_duration group_monitor::currentIterationTime(time_point now) const
{
    return m_slowdown * iterationTime(m_engine, m_model, {static_cast<double>(estimatedRunning(now)), estimatedUnread(now).current});
}

prompt_forecast group_monitor::forecast(token_count promptTokens, time_point now) const
{
    const std::uint32_t requests = estimatedRunning(now);
    const engine_duration currentIteration = requests > 0 ? currentIterationTime(now) : engine_duration(0);
    const engine_duration remaining = std::max(engine_duration(0), currentIteration - engine_duration(iterationAge(now)));
    const double waiting = estimatedUnread(now).waiting + otherTokens(ceilDuration(remaining));
    const double perIteration = prefillTokensPerIteration(m_engine);
    const engine_duration steps = iterationTime(m_engine, m_model, {requests + 1.0, 0.0});
    const engine_duration nextIteration = m_slowdown * iterationTime(m_engine, m_model, {requests + 1.0, std::min(waiting, perIteration)});
    const double fullIterations = std::floor((waiting + promptTokens) / perIteration);
    const engine_duration prefill = iterationTime(m_engine, m_model, {requests + 1.0, waiting}) - steps + prefillTime(m_engine, m_model, promptTokens);
    return {remaining + m_slowdown * ((fullIterations + 1.0) * steps + prefill), nextIteration, requests};
}

engine_duration group_monitor::suspectSilence(time_point now) const
{
    const engine_duration deviation(std::sqrt(m_iterationVariance));
    const engine_duration iterations = currentIterationTime(now) * (hasAnswer() ? 1.0 : iterationsToFirstEvent);
    return std::max(minSuspectSilence, silenceMargin + iterations + silentDeviations * deviation) * m_silenceFactor;
}

bool group_monitor::isSuspect(time_point now) const
{
    return mayProbe(now) && engine_duration(now - m_progressAt) > suspectSilence(now);
}

bool group_monitor::isStalled(time_point now) const
{
    return !m_calls.empty() && engine_duration(now - m_progressAt) > std::max(minStallSilence, stallFactor * suspectSilence(now));
}

void group_monitor::delayNextProbe(time_point now)
{
    m_nextProbeAt = now + probeInterval;
    m_silenceFactor = std::min(maxSilenceFactor, m_silenceFactor * silenceFactorGrowth);
}

std::uint32_t group_monitor::promptTokensSince(time_point since) const
{
    std::uint32_t sum = 0;
    for (auto each = m_recentPrompts.rbegin(); each != m_recentPrompts.rend() && each->first > since; ++each) {
        sum += each->second;
    }
    return sum;
}

duration group_monitor::silence(time_point now) const
{
    return std::chrono::duration_cast<duration>(now - m_progressAt);
}

duration group_monitor::age(time_point now) const
{
    return std::chrono::duration_cast<duration>(now - m_firstCallAt);
}

duration group_monitor::loadAge(time_point now) const
{
    return std::chrono::duration_cast<duration>(now - m_othersUpdatedAt);
}

group_load group_monitor::ownLoad(group_epoch epoch, time_point now)
{
    group_load own{epoch, static_cast<std::uint32_t>(m_calls.size()), 0, now < m_progressAt + progressWindow, promptTokensSince(now - rateWindow)};
    own.prefillTokens = ownPrefillTokens(time_point::min(), now);
    own.answered = static_cast<std::uint32_t>(m_answered.count(now));
    own.late = static_cast<std::uint32_t>(m_late.count(now));
    // The progress time is also set by the first call, which is no progress of the group.
    own.progressing = own.progressing && hasAnswer();
    return own;
}

} // namespace carawayloft
