#pragma once

#include <carawayloft/fleet/engine_timing.h>
#include <carawayloft/fleet/fleet_messages.h>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace carawayloft {

/** What a prompt meets at a group when it is sent now. */
struct prompt_forecast {
    engine_duration firstEvent{0}; /**< Time until its first event. */
    engine_duration passWithout{0}; /**< Length that the pass that reads it has without it; no stream of the group moves meanwhile. */
    std::uint32_t running = 0; /**< Requests that are there, as far as known. */
};

/**
 * What a gateway knows of one group: its own requests there exactly, those of other gateways from
 * reports, and whether the group still makes progress. A group gives out events of all its streams in
 * every pass, so silence for a few passes means that a member is gone or that the group is slow.
 */
class group_monitor
{
public:
    group_monitor(const engine_profile &engine, const model_profile &model, time_point now);

    void begin(backend_call_id call, token_count promptTokens, time_point now);

    /** Bytes have come. */
    void progress(backend_call_id call, time_point now);

    void end(backend_call_id call);

    /** What @p gateways others have there, as they told control. */
    void setOthers(const group_load &others, std::uint32_t gateways, time_point now);

    /** This process stood still: the silence meanwhile says nothing. */
    void forgiveSilence(time_point now);

    /** Whether the group was silent for so long that its members should be tested. */
    bool isSuspect(time_point now) const;

    /** Whether the group was silent for so long that its streams go elsewhere without any test. */
    bool isStuck(time_point now) const;

    /** Whether there is anything to lose, and the last test was not a moment ago. */
    bool mayBeTested(time_point now) const
    {
        return !m_calls.empty() && now >= m_notSuspectBefore;
    }

    /** A test is under way, or found every member alive; the next one comes later. */
    void postponeSuspicion(time_point now);

    void suspend(time_point until)
    {
        m_suspendedUntil = until;
    }
    bool isSuspended(time_point now) const
    {
        return now < m_suspendedUntil;
    }

    /**
     * An engine works in passes: a prompt waits for the end of the present one and is read in the next,
     * with all others that came meanwhile.
     */
    prompt_forecast forecast(token_count promptTokens, time_point now) const;

    duration silence(time_point now) const;
    duration loadAge(time_point now) const;
    /** Since the first call there. */
    duration age(time_point now) const;
    std::uint32_t othersRunning() const
    {
        return m_others.running;
    }
    group_load ownLoad(group_epoch epoch, time_point now) const;

    std::uint32_t slots() const
    {
        return m_engine.slots;
    }

private:
    struct running_call {
        token_count promptTokens = 0;
        time_point sentAt;
        bool began = false; /**< Its first event has come. */
    };

    engine_duration expectedSilence(time_point now) const;
    std::uint32_t tokensSince(time_point since) const;
    std::uint32_t ownUnread(time_point from, time_point to) const;
    std::uint32_t running(time_point now) const;
    bool othersUnknown(time_point now) const;
    double othersFactor(time_point now) const;
    engine_duration presentPass(time_point now) const;

    engine_profile m_engine;
    model_profile m_model;
    std::map<backend_call_id, running_call> m_calls;
    group_load m_others;
    std::uint32_t m_otherGateways = 0;
    std::deque<std::pair<time_point, token_count>> m_sent; /**< Prompts of the last second. */
    bool m_used = false;
    time_point m_begunAt; /**< Of the first call there. */
    time_point m_othersAt;
    time_point m_progressAt; /**< Or of the first call after a time without any. */
    time_point m_suspendedUntil;
    time_point m_notSuspectBefore;
    double m_caution = 1.0; /**< Factor on the silence that is suspect. */
    double m_slowness = 1.0; /**< Times by which passes take longer than the published figures say. */
};

} // namespace carawayloft
