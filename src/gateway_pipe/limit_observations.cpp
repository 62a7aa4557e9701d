#include <carawayloft/gateway/limit_observations.h>

namespace carawayloft {

bool limit_observations::record(const backend_id &backend, std::optional<double> limit, time_point now)
{
    if (!limit) {
        return m_limits.erase(backend) > 0;
    }
    const auto [found, isNew] = m_limits.try_emplace(backend);
    const bool changed = isNew || found->second.limit != *limit;
    found->second = {*limit, now};
    return changed;
}

} // namespace carawayloft
