#pragma once

#include <carawayloft/fleet/fleet_messages.h>
#include <carawayloft/gateway/pass_time.h>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace carawayloft {

/**
 * What a gateway knows of one group: its own requests there exactly, those of other gateways from
 * reports, and whether the group still makes progress. A group gives out events of all its streams in
 * every pass, so silence for a few passes means that a member is gone or that the group is slow.
 */
class group_watch
{
public:
    group_watch(const engine_profile &engine, const model_profile &model, time_point now);

    void begin(backend_call_id call, token_count promptTokens, time_point now);

    /** Bytes have come. */
    void progress(backend_call_id call, time_point now);

    void end(backend_call_id call);

    void setOthers(const group_load &others, time_point now);

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

    /** All that is known to be there. */
    engine_work work() const;

    /** Time until a prompt's first event, if it is sent now. */
    engine_time firstEventTime(token_count promptTokens) const;

    /** Part of its time that the group spends on reading prompts; 1.0 is all of it. */
    double readShare(time_point now) const;

    duration silence(time_point now) const;
    duration loadAge(time_point now) const;
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
        bool began = false; /**< Its first event has come. */
    };

    engine_time expectedSilence() const;
    std::uint32_t tokensSince(time_point since) const;

    engine_profile m_engine;
    model_profile m_model;
    std::map<backend_call_id, running_call> m_calls;
    group_load m_others;
    std::deque<std::pair<time_point, token_count>> m_sent; /**< Prompts of the last second. */
    time_point m_begunAt;
    time_point m_othersAt;
    time_point m_progressAt; /**< Or of the first call after a time without any. */
    time_point m_suspendedUntil;
    time_point m_notSuspectBefore;
    double m_slowness = 1.0; /**< Times by which passes take longer than the published figures say. */
};

} // namespace carawayloft
