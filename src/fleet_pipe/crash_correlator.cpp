#include <carawayloft/fleet/crash_correlator.h>

#include <algorithm>

namespace carawayloft {

/** Crashes that a trait must have in common to be suspected, and to be put in quarantine. */
static constexpr std::uint32_t crashesToSuspect = 2;
static constexpr std::uint32_t crashesToQuarantine = 3;

/** Different requests that must stand for a part of a prompt: otherwise the request itself is the narrower suspect. */
static constexpr std::size_t minRequestsOfPart = 2;

/** Servers that end together, as those of a rack do, count as one crash: one cause ended them. */
static constexpr duration sameCauseTime{300};

/** Time for gateways to report that servers survived a trait: two report periods and some delay. */
static constexpr duration survivalReportTime{600};

/** Reports of one crash from several gateways differ by at most this. */
static constexpr duration sameCrashTime{2'000};

/** Time within which a server that closed connections must turn out to have ended. */
static constexpr duration confirmationTime{6'000};

/** Retention of crashes, and bounds on what is kept of them. */
static constexpr duration crashRetention{600'000};
static constexpr std::size_t maxCrashes = 24;
static constexpr std::size_t maxRequestsPerCrash = 64;
static constexpr std::size_t maxSuspects = 64;

/** Time after which a proposal that is not in force is repeated. */
static constexpr duration proposalTimeout{2'000};

/** Interval of looks at the age of quarantines. */
static constexpr duration releasePeriod{5'000};

std::vector<crash_correlator::output> crash_correlator::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    std::visit([this](const auto &each) { handle(each); }, in);
    return std::move(m_out);
}

void crash_correlator::handle(const crash_evidence &in)
{
    for (const crash_exposure &each : in.exposures) {
        add(each);
    }
    for (const trait_survival &each : in.survivals) {
        add(each);
    }
}

void crash_correlator::handle(const backend_crashed &in)
{
    m_ended[in.backend] = m_now;
    for (crash &each : m_crashes) {
        if (each.backend == in.backend && !each.confirmed && m_now < each.at + confirmationTime) {
            confirm(each);
        }
    }
}

void crash_correlator::handle(const quarantine_changed &in)
{
    std::map<service_trait, time_point> since;
    for (const service_trait &each : in.traits) {
        const auto known = m_quarantinedSince.find(each);
        since[each] = known == m_quarantinedSince.end() ? m_now : known->second;
        m_proposedAt.erase(each);
    }
    for (const auto &[released, from] : m_quarantinedSince) {
        if (!since.contains(released)) {
            m_survivedAt[released] = m_now; // What led to the quarantine no longer counts.
        }
    }
    m_quarantinedSince = std::move(since);
    m_changed = true;
}

void crash_correlator::handle(const crash_tick &)
{
    std::erase_if(m_ended, [this](const auto &each) { return m_now >= each.second + confirmationTime; });
    m_changed = std::erase_if(m_proposedAt, [this](const auto &each) { return m_now >= each.second + proposalTimeout; }) > 0 || m_changed;
    releaseExpired();
    // A suspect may become decidable by time alone.
    if (m_changed || !m_suspects.empty()) {
        m_changed = false;
        forgetOldCrashes();
        assess();
    }
}

crash_correlator::crash &crash_correlator::findOrAddCrash(const crash_exposure &exposure, time_point at)
{
    for (crash &each : m_crashes) {
        if (each.backend == exposure.backend && std::chrono::abs(each.at - at) < sameCrashTime) {
            return each;
        }
    }
    if (m_crashes.size() >= maxCrashes) {
        const auto unconfirmed = std::find_if(m_crashes.begin(), m_crashes.end(), [](const crash &each) { return !each.confirmed; });
        m_crashes.erase(unconfirmed == m_crashes.end() ? m_crashes.begin() : unconfirmed);
    }
    const auto later = std::find_if(m_crashes.begin(), m_crashes.end(), [at](const crash &each) { return each.at > at; });
    return *m_crashes.insert(later, crash{exposure.backend, exposure.service, at, {}, false});
}

void crash_correlator::add(const crash_exposure &exposure)
{
    crash &found = findOrAddCrash(exposure, m_now - std::max(exposure.age, duration(0)));
    for (const exposed_request &each : exposure.requests) {
        const bool known = std::find(found.requests.begin(), found.requests.end(), each) != found.requests.end();
        if (!known && !each.traits.empty() && found.requests.size() < maxRequestsPerCrash) {
            found.requests.push_back(each);
            m_changed = true;
        }
    }
    if (!found.confirmed && m_ended.contains(found.backend)) {
        confirm(found);
    }
}

void crash_correlator::add(const trait_survival &survival)
{
    // Only suspects count, so that the memory for survivals is bounded.
    if (!m_suspectedSince.contains(survival.subject)) {
        return;
    }
    const time_point at = m_now - std::max(survival.age, duration(0));
    time_point &last = m_survivedAt[survival.subject];
    m_changed = m_changed || at > last;
    last = std::max(last, at);
}

void crash_correlator::confirm(crash &each)
{
    each.confirmed = true;
    m_changed = true;
    m_out.emplace_back(crash_recorded{each.backend, each.service, each.requests.size()});
}

void crash_correlator::forgetOldCrashes()
{
    std::erase_if(m_crashes, [this](const crash &each) { return m_now >= each.at + (each.confirmed ? crashRetention : confirmationTime); });
    const time_point oldest = m_crashes.empty() ? m_now : m_crashes.front().at;
    std::erase_if(m_survivedAt, [oldest](const auto &each) { return each.second < oldest; });
}

bool crash_correlator::isQuarantined(const service_trait &subject) const
{
    return m_quarantinedSince.contains(subject) || m_proposedAt.contains(subject);
}

/** The requests that may be why a server crashed, beside those whose traits are in quarantine and explain the crash. */
std::vector<const exposed_request *> crash_correlator::unexplainedRequests(const crash &each) const
{
    std::vector<const exposed_request *> all;
    std::vector<const exposed_request *> inQuarantine;
    for (const exposed_request &request : each.requests) {
        const auto isPartInQuarantine = [&](const request_trait &trait) { return isQuarantined({each.service, trait}); };
        if (std::any_of(std::next(request.traits.begin()), request.traits.end(), isPartInQuarantine)) {
            return {};
        }
        all.push_back(&request);
        if (isQuarantined({each.service, request.traits.front()})) {
            inQuarantine.push_back(&request);
        }
    }
    // A request in quarantine explains the crash, but a part of its prompt may explain the request.
    return inQuarantine.empty() ? all : inQuarantine;
}

std::map<service_trait, crash_correlator::evidence> crash_correlator::collectEvidence() const
{
    std::map<service_trait, evidence> all;
    for (const crash &each : m_crashes) {
        if (!each.confirmed) {
            continue;
        }
        for (const exposed_request *request : unexplainedRequests(each)) {
            for (std::size_t position = 0; position < request->traits.size(); ++position) {
                const service_trait subject{each.service, request->traits[position]};
                const auto survived = m_survivedAt.find(subject);
                if (isQuarantined(subject) || (survived != m_survivedAt.end() && survived->second >= each.at)) {
                    continue;
                }
                evidence &found = all[subject];
                if (found.crashes == 0 || each.at >= found.lastCounted + sameCauseTime) {
                    ++found.crashes;
                    found.lastCounted = each.at;
                }
                found.requests.insert(request->traits.front());
                found.position = std::max(found.position, position);
            }
        }
    }
    return all;
}

bool crash_correlator::isDecidable(const service_trait &subject, const evidence &found) const
{
    const bool isWholeRequest = found.position == 0;
    const auto since = m_suspectedSince.find(subject);
    return found.crashes >= crashesToQuarantine && (isWholeRequest || found.requests.size() >= minRequestsOfPart) && since != m_suspectedSince.end()
           && m_now >= since->second + survivalReportTime;
}

/** Takes the traits that most crashes have in common as suspects. */
void crash_correlator::updateSuspects(const std::map<service_trait, evidence> &all)
{
    std::vector<std::pair<std::uint32_t, service_trait>> ranked;
    for (const auto &[subject, found] : all) {
        if (found.crashes >= crashesToSuspect) {
            ranked.emplace_back(found.crashes, subject);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), maxSuspects));
    std::map<service_trait, time_point> since;
    m_suspects.clear();
    for (const auto &[crashes, subject] : ranked) {
        const auto known = m_suspectedSince.find(subject);
        if (known == m_suspectedSince.end()) {
            m_out.emplace_back(trait_suspected{subject, crashes, all.at(subject).requests.size()});
        }
        since[subject] = known == m_suspectedSince.end() ? m_now : known->second;
        m_suspects.push_back(subject);
    }
    m_suspectedSince = std::move(since);
}

/** Updates the suspects, and proposes a quarantine for the one that most crashes have in common, if it is certain enough. */
void crash_correlator::assess()
{
    const std::map<service_trait, evidence> all = collectEvidence();
    updateSuspects(all);
    const std::pair<const service_trait, evidence> *worst = nullptr;
    for (const auto &each : all) {
        if (!isDecidable(each.first, each.second)) {
            continue;
        }
        const auto rank = [](const evidence &of) { return std::pair(of.crashes, of.position); };
        if (worst == nullptr || rank(each.second) > rank(worst->second)) {
            worst = &each;
        }
    }
    if (worst != nullptr) {
        propose(worst->first, worst->second);
    }
}

void crash_correlator::propose(const service_trait &subject, const evidence &found)
{
    m_proposedAt[subject] = m_now;
    m_changed = true; // Its crashes are explained now, and count for no other trait.
    m_out.emplace_back(quarantine_proposed{{subject.service, subject.trait, found.crashes}});
}

void crash_correlator::releaseExpired()
{
    if (m_now < m_releaseDue) {
        return;
    }
    m_releaseDue = m_now + releasePeriod;
    for (const auto &[subject, since] : m_quarantinedSince) {
        if (m_now >= since + quarantineTime) {
            m_out.emplace_back(quarantine_expired{subject});
        }
    }
}

} // namespace carawayloft
