#include <carawayloft/gateway/limit_observations.h>

#include <carawayloft/fleet/request_limit.h>

#include <algorithm>

namespace carawayloft {

/** Time in which control learns an observation and publishes it, if it is later than the one that it has published. */
static constexpr duration adoptionTime{1'000};

bool limit_observations::record(const backend_id &backend, std::optional<double> limit, double published, time_point now)
{
    const double named = limit ? std::max(*limit, minRequestLimit) : 0.0;
    const bool isNews = requestLimitsDiffer(named, limitOf(backend, published, now));
    if (requestLimitsDiffer(named, published)) {
        m_observations[backend] = {named, now, std::nullopt};
    } else {
        m_observations.erase(backend);
    }
    return isNews;
}

void limit_observations::limitPublished(const backend_id &backend, double published, time_point now)
{
    const auto found = m_observations.find(backend);
    if (found == m_observations.end()) {
        return;
    }
    if (requestLimitsDiffer(found->second.limit, published)) {
        found->second.yieldsAt = now + adoptionTime;
    } else {
        m_observations.erase(found);
    }
}

double limit_observations::limitOf(const backend_id &backend, double published, time_point now) const
{
    const auto found = m_observations.find(backend);
    const bool holds = found != m_observations.end() && (!found->second.yieldsAt || now < *found->second.yieldsAt);
    return holds ? found->second.limit : published;
}

void limit_observations::forget(const backend_id &backend)
{
    m_observations.erase(backend);
}

std::vector<request_limit_report> limit_observations::report(time_point now) const
{
    std::vector<request_limit_report> out;
    for (const auto &[backend, each] : m_observations) {
        if (!each.yieldsAt || now < *each.yieldsAt) {
            out.push_back({backend, each.limit, std::chrono::duration_cast<duration>(now - each.at)});
        }
    }
    return out;
}

} // namespace carawayloft
