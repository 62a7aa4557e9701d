#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace carawayloft {

/**
 * What one gateway has seen of requests that may crash servers: the traits of requests whose servers closed the
 * connection before they had begun to answer, and the traits of requests that servers answered and survived.
 * Its memory is bounded, whatever traits callers send.
 */
class crash_witness
{
public:
    /** Records that a server went on after it had begun to answer a request with these traits. */
    void recordSurvival(const service_id &service, const std::vector<request_trait> &traits, time_point now);

    /** Records that a server closed the connection of a request with these traits before it had begun to answer. */
    void recordExposure(const backend_id &backend, const service_id &service, const std::vector<request_trait> &traits, time_point now);

    /** Whether the backend server has just closed the connection of a request that it had not begun to answer. */
    bool hasRecentExposure(const backend_id &backend, time_point now) const;

    /** Sets the traits that control suspects. */
    void setSuspects(const std::vector<service_trait> &suspects);

    /** Whether one of the traits is a suspect that no server has survived here lately. */
    bool isSuspect(const service_id &service, const std::vector<request_trait> &traits, time_point now) const;

    /** Makes the next reports hold all exposures again, for a leader that may not know them. */
    void reportAgain();

    /** The exposures for the next report. */
    std::vector<crash_exposure> takeExposures(time_point now);

    /** Last survivals of the suspects, for the next report. */
    std::vector<trait_survival> survivals(time_point now) const;

private:
    struct exposure {
        backend_id backend;
        service_id service;
        time_point at;
        std::vector<exposed_request> requests;
        unsigned reportsLeft = 0;
    };

    std::optional<time_point> survivedAt(const service_trait &subject) const;

    std::deque<exposure> m_exposures;
    std::set<service_trait> m_suspects;
    // Two generations, so that the oldest survivals can be dropped together.
    std::map<service_trait, time_point> m_survivals;
    std::map<service_trait, time_point> m_olderSurvivals;
};

} // namespace carawayloft
