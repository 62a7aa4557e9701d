#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <map>
#include <optional>

namespace carawayloft {

/**
 * The request limits that backend servers named in answers to this gateway, where they differ from the limits that
 * control has published. All limits are in requests per second from all gateways together; zero stands for no limit.
 */
class limit_observations
{
public:
    /** Records the limit in an answer, or that it names none; returns whether that differs from what was in force here. */
    bool record(const backend_id &backend, std::optional<double> limit, double published, time_point now);

    /** Control has published another limit, from a later answer of the server or from an earlier one. */
    void limitPublished(const backend_id &backend, double published, time_point now);

    /** The limit in force: the one observed here, as long as control may not know it yet. */
    double limitOf(const backend_id &backend, double published, time_point now) const;

    void forget(const backend_id &backend);

    /** The observations that control has not published. */
    std::vector<request_limit_report> report(time_point now) const;

private:
    struct observation {
        double limit = 0.0;
        time_point at;
        std::optional<time_point> yieldsAt; /**< When the published limit, which differs, is taken instead. */
    };

    std::map<backend_id, observation> m_observations;
};

} // namespace carawayloft
