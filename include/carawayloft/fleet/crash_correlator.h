#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/fleet/crash_correlator_messages.h>

#include <deque>
#include <map>
#include <optional>

namespace carawayloft {

/**
 * Finds the traits of requests that crash the servers of a service, from what all gateways saw at each crash. A trait
 * is suspected if crashes at different times have it in common and no server has survived it since, and goes
 * into quarantine after one more such crash. Its state is the leader's alone: the next leader learns recent crashes from the gateways.
 */
class crash_correlator
{
public:
    using input = crash_correlator_input;
    using output = crash_correlator_output;

    std::vector<output> step(const input &in, time_point now);

    /** Traits that several crashes have in common, and that are not in quarantine. */
    const std::vector<service_trait> &suspects() const
    {
        return m_suspects;
    }

private:
    struct crash {
        backend_id backend;
        service_id service;
        time_point at;
        std::vector<exposed_request> requests;
        bool confirmed = false; /**< The server is known to have ended; until then it may only have closed connections. */
    };
    /** What the crashes since the last survival of a trait say of it. */
    struct evidence {
        std::uint32_t crashes = 0; /**< Those at about the same time count once. */
        time_point lastCounted;
        std::set<request_trait> requests; /**< Different requests with the trait. */
        std::size_t position = 0; /**< Among the traits of a request; a later part of a prompt is narrower. */
    };

    void handle(const crash_evidence &in);
    void handle(const backend_crashed &in);
    void handle(const quarantine_changed &in);
    void handle(const crash_tick &in);

    void add(const crash_exposure &exposure);
    void add(const trait_survival &survival);
    crash &findOrAddCrash(const crash_exposure &exposure, time_point at);
    void confirm(crash &each);
    void forgetOldCrashes();
    void releaseExpired();
    void assess();
    std::map<service_trait, evidence> collectEvidence() const;
    std::vector<const exposed_request *> unexplainedRequests(const crash &each) const;
    bool isQuarantined(const service_trait &subject) const;
    bool isDecidable(const service_trait &subject, const evidence &found) const;
    void updateSuspects(const std::map<service_trait, evidence> &all);
    void propose(const service_trait &subject, const evidence &found);

    time_point m_now;
    std::vector<output> m_out;
    std::deque<crash> m_crashes;
    std::map<backend_id, time_point> m_ended; /**< Servers that ended a short while ago. */
    std::map<service_trait, time_point> m_survivedAt;
    std::map<service_trait, time_point> m_suspectedSince;
    std::vector<service_trait> m_suspects;
    std::map<service_trait, time_point> m_quarantinedSince;
    std::map<service_trait, time_point> m_proposedAt; /**< Quarantines that the log may not have committed yet. */
    time_point m_releaseDue;
    bool m_changed = false; /**< Evidence has come since the last assessment. */
};

static_assert(filter<crash_correlator>);

} // namespace carawayloft
