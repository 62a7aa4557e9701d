#include <carawayloft/gateway/group_watch.h>

#include <algorithm>

namespace carawayloft {

/** Passes that may go by in silence, and the time on top for the network and for prompts that are not known here. */
static constexpr double silentPasses = 2.0;
static constexpr engine_time silenceMargin{60};

/** Silence is never suspect before this: long prompts of other gateways take as long to read. */
static constexpr engine_time leastSuspectSilence{140};

/** Silence of this many times the suspect one, and at least this long, moves streams without a test. */
static constexpr double stuckFactor = 4.0;
static constexpr engine_time leastStuckSilence{900};

/** Time between two tests of the members of a silent group. */
static constexpr duration suspicionPause{250};

/** Weight of the newest pass in the slowness of a group, and its bounds. */
static constexpr double slownessWeight = 0.1;
static constexpr double greatestSlowness = 8.0;

/** Span of time over which a gateway's rate of prompt tokens is told to others, and the shorter one for its own. */
static constexpr duration rateWindow{1'000};
static constexpr duration readWindow{400};

/** Time for which a group counts as making progress after bytes came from it. */
static constexpr duration progressTime{1'000};

group_watch::group_watch(const engine_profile &engine, const model_profile &model, time_point now)
    : m_engine(engine)
    , m_model(model)
    , m_begunAt(now)
    , m_othersAt(now)
    , m_progressAt(now)
{
}

void group_watch::begin(backend_call_id call, token_count promptTokens, time_point now)
{
    if (m_calls.empty()) {
        m_progressAt = now;
    }
    m_calls[call] = {promptTokens, false};
    m_sent.emplace_back(now, promptTokens);
    while (now >= m_sent.front().first + rateWindow) {
        m_sent.pop_front();
    }
}

void group_watch::progress(backend_call_id call, time_point now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    const engine_time since = now - m_progressAt;
    const engine_time pass = passTime(m_engine, m_model, work());
    if (since > pass / 2.0) {
        const double slowness = std::clamp(since / pass, 1.0, greatestSlowness);
        m_slowness += slownessWeight * (slowness - m_slowness);
    }
    found->second.began = true;
    m_progressAt = now;
}

void group_watch::end(backend_call_id call)
{
    m_calls.erase(call);
}

void group_watch::setOthers(const group_load &others, time_point now)
{
    m_others = others;
    m_othersAt = now;
}

void group_watch::forgiveSilence(time_point now)
{
    m_progressAt = now;
}

engine_work group_watch::work() const
{
    engine_work sum{m_others.running + static_cast<std::uint32_t>(m_calls.size()), m_others.unreadTokens};
    for (const auto &[call, each] : m_calls) {
        sum.unreadTokens += each.began ? 0 : each.promptTokens;
    }
    return sum;
}

engine_time group_watch::expectedSilence() const
{
    return std::max(leastSuspectSilence, silenceMargin + m_slowness * silentPasses * passTime(m_engine, m_model, work()));
}

bool group_watch::isSuspect(time_point now) const
{
    return mayBeTested(now) && engine_time(now - m_progressAt) > expectedSilence();
}

bool group_watch::isStuck(time_point now) const
{
    return !m_calls.empty() && engine_time(now - m_progressAt) > std::max(leastStuckSilence, stuckFactor * expectedSilence());
}

void group_watch::postponeSuspicion(time_point now)
{
    m_notSuspectBefore = now + suspicionPause;
}

engine_time group_watch::firstEventTime(token_count promptTokens) const
{
    return m_slowness * (passTime(m_engine, m_model, work()) + readTime(m_engine, m_model, promptTokens));
}

std::uint32_t group_watch::tokensSince(time_point since) const
{
    std::uint32_t sum = 0;
    for (auto each = m_sent.rbegin(); each != m_sent.rend() && each->first > since; ++each) {
        sum += each->second;
    }
    return sum;
}

double group_watch::readShare(time_point now) const
{
    const double others = m_others.tokensPerSecond * (std::chrono::duration<double>(readWindow) / std::chrono::duration<double>(rateWindow));
    const double tokens = tokensSince(now - readWindow) + others;
    const engine_time reading = readTime(m_engine, m_model, 1) * tokens;
    return m_slowness * (reading / engine_time(readWindow));
}

duration group_watch::silence(time_point now) const
{
    return std::chrono::duration_cast<duration>(now - m_progressAt);
}

duration group_watch::age(time_point now) const
{
    return std::chrono::duration_cast<duration>(now - m_begunAt);
}

duration group_watch::loadAge(time_point now) const
{
    return std::chrono::duration_cast<duration>(now - m_othersAt);
}

group_load group_watch::ownLoad(group_epoch epoch, time_point now) const
{
    group_load own{epoch, static_cast<std::uint32_t>(m_calls.size()), 0, now < m_progressAt + progressTime, tokensSince(now - rateWindow)};
    for (const auto &[call, each] : m_calls) {
        own.unreadTokens += each.began ? 0 : each.promptTokens;
    }
    // The start of a call is no progress of the group.
    own.progressing = own.progressing && std::any_of(m_calls.begin(), m_calls.end(), [](const auto &each) { return each.second.began; });
    return own;
}

} // namespace carawayloft
