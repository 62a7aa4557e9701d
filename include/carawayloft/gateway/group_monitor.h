#pragma once

#include <carawayloft/fleet/engine_timing.h>
#include <carawayloft/fleet/fleet_messages.h>
#include <carawayloft/gateway/sliding_window_counter.h>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace carawayloft {

/** Expected latency of a prompt that is sent to a group now. */
struct prompt_forecast {
    engine_duration timeToFirstEvent{0};
    engine_duration baseIterationTime{0}; /**< Length of the iteration that reads the prompt, without the prompt; all streams of the group pause meanwhile. */
    std::uint32_t running = 0; /**< Estimated requests in flight at the group. */
};

/**
 * Tracks the load and progress of one group: the requests of this gateway exactly, those of other
 * gateways from reports. In every iteration a group emits events for all its streams, so silence over a few
 * iterations means that a member has failed or the group is slow.
 */
class group_monitor
{
public:
    group_monitor(const engine_profile &engine, const model_profile &model, time_point now);

    void addCall(backend_call_id call, token_count promptTokens, time_point now);

    /** Records that bytes of @p call have arrived. */
    void recordProgress(backend_call_id call, time_point now);

    void removeCall(backend_call_id call);

    /** Counts a first attempt whose first event came, or whose objective passed without one. */
    void recordAnswer(time_point now);

    /** Counts an answer that missed the objective of the first event or of a pause. */
    void recordLateAnswer(time_point now);

    /** Sets the load that @p gateways other gateways have reported to control. */
    void updateOtherGateways(const group_load &others, std::uint32_t gateways, time_point now);

    /** Restarts the silence timer after a pause of this process, in which no bytes could be read. */
    void restartSilence(time_point now);

    /** Whether the group has been silent long enough to probe its members. */
    bool isSuspect(time_point now) const;

    /** Whether the group has been silent long enough to move its streams without a probe. */
    bool isStalled(time_point now) const;

    /** Whether calls are in flight and the last probe is long enough ago. */
    bool mayProbe(time_point now) const
    {
        return !m_calls.empty() && now >= m_nextProbeAt;
    }

    /** Delays the next probe; called when a probe starts. */
    void delayNextProbe(time_point now);

    void suspend(time_point until)
    {
        m_suspendedUntil = until;
    }
    bool isSuspended(time_point now) const
    {
        return now < m_suspendedUntil;
    }

    /**
     * Forecasts the latency of a prompt. An engine works in iterations: a prompt waits for the end of the
     * current iteration and is read in the next one, together with all prompts that arrived meanwhile.
     */
    prompt_forecast forecast(token_count promptTokens, time_point now) const;

    /** Whether no call of this gateway is in flight. */
    bool isIdle() const
    {
        return m_calls.empty();
    }

    duration silence(time_point now) const;
    /** Time since the last report of the load of other gateways. */
    duration loadAge(time_point now) const;
    /** Time since the first call. */
    duration age(time_point now) const;
    std::uint32_t othersRunning() const
    {
        return m_others.running;
    }
    group_load ownLoad(group_epoch epoch, time_point now);

    /** Factor by which the group takes longer than its engines' published figures. */
    double slowdown() const
    {
        return m_slowdown;
    }

    std::uint32_t slots() const
    {
        return m_engine.slots;
    }

private:
    struct running_call {
        token_count promptTokens = 0;
        time_point sentAt;
        bool answerStarted = false;
    };

    /** Prompt tokens that the group reads in the current iteration, and those that wait for the next. */
    struct unread_prompts {
        double current = 0.0;
        double waiting = 0.0;
    };

    engine_duration suspectSilence(time_point now) const;
    std::uint32_t promptTokensSince(time_point since) const;
    std::uint32_t ownPrefillTokens(time_point from, time_point to) const;
    std::uint32_t estimatedRunning(time_point now) const;
    bool isOtherLoadUnknown(time_point now) const;
    double ownLoadFactor(time_point now) const;
    double otherTokens(duration time) const;
    double otherBacklog(time_point now) const;
    duration iterationAge(time_point now) const;
    bool hasAnswer() const;
    unread_prompts estimatedUnread(time_point now) const;
    engine_duration typicalIterationTime(time_point now) const;
    engine_duration currentIterationTime(time_point now) const;

    engine_profile m_engine;
    model_profile m_model;
    std::map<backend_call_id, running_call> m_calls;
    group_load m_others;
    std::uint32_t m_otherGateways = 0;
    std::deque<std::pair<time_point, token_count>> m_recentPrompts; /**< Send time and length of the prompts of the last second. */
    sliding_window_counter m_answered;
    sliding_window_counter m_late;
    bool m_hasHadCall = false;
    time_point m_firstCallAt; /**< Before the first call: creation of the monitor. */
    time_point m_othersUpdatedAt;
    time_point m_progressAt; /**< Last progress, or the first call after an idle time. */
    time_point m_suspendedUntil;
    time_point m_nextProbeAt;
    double m_silenceFactor = 1.0; /**< Factor on the silence after which members are probed. */
    engine_duration m_observedIteration{0}; /**< Moving average. */
    engine_duration m_expectedIteration{0}; /**< Moving average of what the published figures gave for the same iterations. */
    double m_iterationVariance = 0.0; /**< Moving average of the squared difference of the two, in square milliseconds. */
    double m_slowdown = 1.0; /**< Factor by which iterations take longer than the published figures. */
};

} // namespace carawayloft
