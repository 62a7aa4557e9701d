#include <carawayloft/gateway/crash_witness.h>

#include <algorithm>

namespace carawayloft {

/** Bounds of what is remembered: traits of each generation of survivals, servers, and requests of one server. */
static constexpr std::size_t maxSurvivals = 4'096;
static constexpr std::size_t maxExposures = 16;
static constexpr std::size_t maxExposedRequests = 32;

/** Connections that one crash closes are closed within this time. */
static constexpr duration crashLength{1'000};

/** A trait that servers survived within this time is no suspect here, whatever control knows yet. */
static constexpr duration recentSurvival{5'000};

/** An exposure is reported this many times, in case a report is lost, and kept for a new leader for a while. */
static constexpr unsigned exposureReports = 6;
static constexpr duration exposureRetention{60'000};

void crash_witness::recordSurvival(const service_id &service, const std::vector<request_trait> &traits, time_point now)
{
    if (m_survivals.size() + traits.size() > maxSurvivals) {
        m_olderSurvivals = std::exchange(m_survivals, {});
    }
    for (const request_trait &each : traits) {
        m_survivals[{service, each}] = now;
    }
}

void crash_witness::recordExposure(const backend_id &backend, const service_id &service, const std::vector<request_trait> &traits, time_point now)
{
    auto found
        = std::find_if(m_exposures.begin(), m_exposures.end(), [&](const exposure &each) { return each.backend == backend && now < each.at + crashLength; });
    if (found == m_exposures.end()) {
        if (m_exposures.size() >= maxExposures) {
            m_exposures.pop_front();
        }
        found = m_exposures.insert(m_exposures.end(), exposure{backend, service, now, {}, 0});
    }
    const exposed_request request{traits};
    const bool known = std::find(found->requests.begin(), found->requests.end(), request) != found->requests.end();
    if (!known && found->requests.size() < maxExposedRequests) {
        found->requests.push_back(request);
        found->reportsLeft = exposureReports;
    }
}

bool crash_witness::hasRecentExposure(const backend_id &backend, time_point now) const
{
    return std::any_of(m_exposures.begin(), m_exposures.end(), [&](const exposure &each) { return each.backend == backend && now < each.at + crashLength; });
}

void crash_witness::setSuspects(const std::vector<service_trait> &suspects)
{
    m_suspects = {suspects.begin(), suspects.end()};
}

std::optional<time_point> crash_witness::survivedAt(const service_trait &subject) const
{
    for (const auto *generation : {&m_survivals, &m_olderSurvivals}) {
        if (const auto found = generation->find(subject); found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

bool crash_witness::isSuspect(const service_id &service, const std::vector<request_trait> &traits, time_point now) const
{
    return std::any_of(traits.begin(), traits.end(), [&](const request_trait &each) {
        const service_trait subject{service, each};
        if (!m_suspects.contains(subject)) {
            return false;
        }
        const std::optional<time_point> survived = survivedAt(subject);
        return !survived || now >= *survived + recentSurvival;
    });
}

void crash_witness::reportAgain()
{
    for (exposure &each : m_exposures) {
        each.reportsLeft = exposureReports;
    }
}

std::vector<crash_exposure> crash_witness::takeExposures(time_point now)
{
    std::erase_if(m_exposures, [now](const exposure &each) { return now >= each.at + exposureRetention; });
    std::vector<crash_exposure> out;
    for (exposure &each : m_exposures) {
        if (each.reportsLeft > 0) {
            --each.reportsLeft;
            out.push_back({each.backend, each.service, std::chrono::duration_cast<duration>(now - each.at), each.requests});
        }
    }
    return out;
}

std::vector<trait_survival> crash_witness::survivals(time_point now) const
{
    std::vector<trait_survival> out;
    for (const service_trait &each : m_suspects) {
        if (const std::optional<time_point> survived = survivedAt(each)) {
            out.push_back({each, std::chrono::duration_cast<duration>(now - *survived)});
        }
    }
    return out;
}

} // namespace carawayloft
