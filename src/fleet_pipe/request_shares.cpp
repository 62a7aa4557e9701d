#include <carawayloft/fleet/request_shares.h>

#include <algorithm>
#include <functional>

namespace carawayloft {

/** Time after which other gateways get the shares. */
static constexpr duration rotationPeriod{10'000};

/** Order of the gateways for one backend server, which is as good as random. */
static std::uint64_t rankOf(const backend_id &backend, link_id gateway, std::uint64_t rotation)
{
    static constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    std::uint64_t mixed = std::hash<std::string>()(backend.value()) ^ (gateway.value() * multiplier) ^ (rotation << 32U);
    mixed = (mixed ^ (mixed >> 31U)) * multiplier;
    return mixed ^ (mixed >> 29U);
}

static std::map<backend_id, double> limitsIn(const backend_registry &registry)
{
    std::map<backend_id, double> limits;
    for (const auto &[id, entry] : registry.entries()) {
        if (entry.record.requestLimit > 0.0) {
            limits.emplace(id, entry.record.requestLimit);
        }
    }
    return limits;
}

void request_shares::update(const backend_registry &registry, const std::set<link_id> &gateways, time_point now)
{
    std::map<backend_id, double> limits = limitsIn(registry);
    const auto rotation = static_cast<std::uint64_t>(now.time_since_epoch() / rotationPeriod);
    if (limits == m_limits && gateways == m_gateways && rotation == m_rotation) {
        return;
    }
    m_limits = std::move(limits);
    m_gateways = gateways;
    m_rotation = rotation;
    m_shares.clear();
    if (gateways.empty()) {
        return;
    }
    for (const auto &[backend, limit] : m_limits) {
        const std::size_t sharing = std::clamp<std::size_t>(static_cast<std::size_t>(limit), 1, gateways.size());
        std::vector<std::pair<std::uint64_t, link_id>> ranked;
        ranked.reserve(gateways.size());
        for (const link_id &each : gateways) {
            ranked.emplace_back(rankOf(backend, each, rotation), each);
        }
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(sharing), ranked.end());
        for (std::size_t i = 0; i < sharing; ++i) {
            m_shares[ranked[i].second].push_back({backend, limit / static_cast<double>(sharing)});
        }
    }
}

std::vector<request_share> request_shares::sharesOf(link_id gateway) const
{
    const auto found = m_shares.find(gateway);
    return found == m_shares.end() ? std::vector<request_share>() : found->second;
}

} // namespace carawayloft
