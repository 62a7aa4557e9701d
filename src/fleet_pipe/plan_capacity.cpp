#include <carawayloft/fleet/plan_capacity.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Time constant of the averages: demand that rises and falls within some seconds moves them by a small part of its amplitude. */
static constexpr std::chrono::duration<double> averagingTime{30.0};

void plan_capacity::record(const capacity_factors &learned, time_point now)
{
    const std::chrono::duration<double> elapsed = now - m_recordedAt;
    m_recordedAt = now;
    const double weight = 1.0 - std::exp(-std::max(0.0, elapsed / averagingTime));
    std::erase_if(m_factors, [&](const auto &each) { return !learned.contains(each.first); });
    for (const auto &[model, factor] : learned) {
        const auto [found, isNew] = m_factors.try_emplace(model, factor);
        if (!isNew) {
            found->second += weight * (factor - found->second);
        }
    }
}

} // namespace carawayloft
