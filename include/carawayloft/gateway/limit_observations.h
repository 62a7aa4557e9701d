#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <map>
#include <optional>

namespace carawayloft {

/** The request limits that backend servers named in their latest answers to this gateway. */
class limit_observations
{
public:
    /** Records the limit in an answer, in requests per second, or that it names none; returns whether that is news. */
    bool record(const backend_id &backend, std::optional<double> limit, time_point now);

private:
    struct observation {
        double limit = 0.0;
        time_point at;
    };

    std::map<backend_id, observation> m_limits; /**< Of the servers that name one. */
};

} // namespace carawayloft
