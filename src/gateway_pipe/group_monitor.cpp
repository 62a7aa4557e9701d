#include <carawayloft/gateway/group_monitor.h>

#include <algorithm>

namespace carawayloft {

/** Passes that may go by in silence, and the time on top for the network and for prompts that are not known here. */
static constexpr double silentPasses = 1.3;
static constexpr engine_duration silenceMargin{20};

/** Silence is never suspect before this: long prompts of other gateways take as long to read. */
static constexpr engine_duration leastSuspectSilence{70};

/** Silence of this many times the suspect one, and at least this long, moves streams without a test. */
static constexpr double stuckFactor = 4.0;
static constexpr engine_duration leastStuckSilence{900};

/** Time between two tests of the members of a silent group. */
static constexpr duration suspicionPause{200};

/** Every test makes the next one later, and progress takes that back: tests of groups that are only busy are for nothing. */
static constexpr double cautionGrowth = 1.3;
static constexpr double cautionDecay = 0.998;
static constexpr double greatestCaution = 2.2;

/** Weight of the newest pass in the slowness of a group, and its bounds. */
static constexpr double slownessWeight = 0.1;
static constexpr double greatestSlowness = 8.0;

/** Span of time over which a gateway's rate of prompt tokens is told to others. */
static constexpr duration rateWindow{1'000};

/** Age of a group up to which reports do not tell yet what other gateways send there. */
static constexpr duration unknownAge{700};

/** Length of the pass whose prompts of other gateways are taken to be read in the present one. */
static constexpr engine_duration usualPass{60};

/** Time for which a group counts as making progress after bytes came from it. */
static constexpr duration progressTime{1'000};

group_monitor::group_monitor(const engine_profile &engine, const model_profile &model, time_point now)
    : m_engine(engine)
    , m_model(model)
    , m_begunAt(now)
    , m_othersAt(now)
    , m_progressAt(now)
{
}

void group_monitor::begin(backend_call_id call, token_count promptTokens, time_point now)
{
    if (m_calls.empty()) {
        m_progressAt = now;
    }
    if (!m_used) {
        m_used = true;
        m_begunAt = now;
    }
    m_calls[call] = {promptTokens, now, false};
    m_sent.emplace_back(now, promptTokens);
    while (now >= m_sent.front().first + rateWindow) {
        m_sent.pop_front();
    }
}

void group_monitor::progress(backend_call_id call, time_point now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    const engine_duration since = now - m_progressAt;
    const engine_duration pass = presentPass(now) / m_slowness;
    if (since > pass / 2.0) {
        const double slowness = std::clamp(since / pass, 1.0, greatestSlowness);
        m_slowness += slownessWeight * (slowness - m_slowness);
    }
    m_caution = std::max(1.0, m_caution * cautionDecay);
    found->second.began = true;
    m_progressAt = now;
}

void group_monitor::end(backend_call_id call)
{
    m_calls.erase(call);
}

void group_monitor::setOthers(const group_load &others, std::uint32_t gateways, time_point now)
{
    m_others = others;
    m_otherGateways = gateways;
    m_othersAt = now;
}

void group_monitor::forgiveSilence(time_point now)
{
    m_progressAt = now;
}

/** Tokens of own prompts that were sent within a span of time and are not read yet, as far as known. */
std::uint32_t group_monitor::ownUnread(time_point from, time_point to) const
{
    std::uint32_t sum = 0;
    for (const auto &[call, each] : m_calls) {
        sum += each.began || each.sentAt <= from || each.sentAt > to ? 0 : each.promptTokens;
    }
    return sum;
}

/** When a group opens all gateways send at once, and no report has told of it. */
bool group_monitor::othersUnknown(time_point now) const
{
    return m_others.running == 0 && (!m_used || now < m_begunAt + unknownAge);
}

/** What this gateway sends, times this, is taken for what all send while nothing is known of the others. */
double group_monitor::othersFactor(time_point now) const
{
    return othersUnknown(now) ? m_otherGateways + 1.0 : 1.0;
}

std::uint32_t group_monitor::running(time_point now) const
{
    return m_others.running + static_cast<std::uint32_t>(othersFactor(now) * static_cast<double>(m_calls.size()));
}

/** Expected length of the pass that is under way. */
engine_duration group_monitor::presentPass(time_point now) const
{
    const double own = othersFactor(now) * ownUnread(time_point::min(), m_progressAt);
    const double others = m_others.tokensPerSecond * std::chrono::duration<double>(usualPass).count();
    return m_slowness * iterationTime(m_engine, m_model, {static_cast<double>(running(now)), own + others});
}

prompt_forecast group_monitor::forecast(token_count promptTokens, time_point now) const
{
    const std::uint32_t there = running(now);
    const engine_duration present = there > 0 ? presentPass(now) : engine_duration(0);
    const double own = othersFactor(now) * ownUnread(m_progressAt, now);
    const double others = m_others.tokensPerSecond * std::chrono::duration<double>(present).count();
    const engine_duration pass = m_slowness * iterationTime(m_engine, m_model, {there + 1.0, own + others});
    const engine_duration rest = std::max(engine_duration(0), present - engine_duration(now - m_progressAt));
    return {rest + pass + m_slowness * prefillTime(m_engine, m_model, promptTokens), pass, there};
}

engine_duration group_monitor::expectedSilence(time_point now) const
{
    return std::max(leastSuspectSilence, silenceMargin + silentPasses * presentPass(now)) * m_caution;
}

bool group_monitor::isSuspect(time_point now) const
{
    return mayBeTested(now) && engine_duration(now - m_progressAt) > expectedSilence(now);
}

bool group_monitor::isStuck(time_point now) const
{
    return !m_calls.empty() && engine_duration(now - m_progressAt) > std::max(leastStuckSilence, stuckFactor * expectedSilence(now));
}

void group_monitor::postponeSuspicion(time_point now)
{
    m_notSuspectBefore = now + suspicionPause;
    m_caution = std::min(greatestCaution, m_caution * cautionGrowth);
}

std::uint32_t group_monitor::tokensSince(time_point since) const
{
    std::uint32_t sum = 0;
    for (auto each = m_sent.rbegin(); each != m_sent.rend() && each->first > since; ++each) {
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
    return std::chrono::duration_cast<duration>(now - m_begunAt);
}

duration group_monitor::loadAge(time_point now) const
{
    return std::chrono::duration_cast<duration>(now - m_othersAt);
}

group_load group_monitor::ownLoad(group_epoch epoch, time_point now) const
{
    group_load own{epoch, static_cast<std::uint32_t>(m_calls.size()), 0, now < m_progressAt + progressTime, tokensSince(now - rateWindow)};
    own.prefillTokens = ownUnread(time_point::min(), now);
    // The start of a call is no progress of the group.
    own.progressing = own.progressing && std::any_of(m_calls.begin(), m_calls.end(), [](const auto &each) { return each.second.began; });
    return own;
}

} // namespace carawayloft
