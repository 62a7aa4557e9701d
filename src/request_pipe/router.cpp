#include <carawayloft/request/router.h>

#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Weight of the newest sample in the moving averages of the latency. */
static constexpr double newestSampleWeight = 0.2;

/** Weight of the newest report in the moving average of the load from other entry processes. */
static constexpr double newestReportWeight = 0.3;

/** Latency assumed while no group of the service has a fresh sample. */
static constexpr double assumedFirstTokenMs = 200;
static constexpr double assumedTotalMs = 1'000;

/** A group without a newer sample is expected to be as fast as the median, so that it gets requests and with them new samples. */
static constexpr duration maxSampleAge{10'000};

/** Round trip to another availability zone, with a margin for a slow link. */
static constexpr double otherZonePenaltyMs = 5;

/** Fraction of the time to the first token that a cached prompt prefix saves. */
static constexpr double cachedPrefixSaving = 0.5;

/** Age at which a load report is stale. */
static constexpr duration maxReportAge{4'000};

/** Added to the expected wait at a group whose report is stale. */
static constexpr double staleReportPenaltyMs = 2'000;

/** A group is full at this many times its limit of outstanding requests. */
static constexpr std::uint32_t queueFactor = 2;

/** Consecutive failed attempts after which a group is ejected; one is enough while it is being probed. */
static constexpr unsigned consecutiveFailuresToEject = 3;

/** Length of the first ejection; doubles with each further one up to the maximum. */
static constexpr duration baseEjectionTime{1'000};
static constexpr duration maxEjectionTime{30'000};

/** A group whose time to the first token exceeds this multiple of the median is ejected, after enough samples. */
static constexpr double stragglerFactor = 6;
static constexpr unsigned minStragglerSamples = 8;

/** Prompt prefixes whose group is remembered. */
static constexpr std::size_t maxPrefixes = 4'096;

/** Retry delay sent to a caller when no group is available. */
static constexpr duration fullRetryAfter{1'000};

router::router(availability_zone_id ownZone, route_policy policy, std::uint64_t seed)
    : m_ownZone(std::move(ownZone))
    , m_policy(policy)
    , m_random(seed)
{
}

std::vector<router::output> router::step(const input &in, time_point now)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { handle(each, now, out); }, in);
    return out;
}

void router::handle(const groups_changed &in, time_point, std::vector<output> &)
{
    std::map<group_id, group_view> updated;
    for (const routable_group &each : in.groups) {
        const auto known = m_groups.find(each.group);
        group_view view;
        if (known != m_groups.end() && known->second.group.epoch == each.epoch) {
            view = std::move(known->second);
        }
        view.group = each;
        updated.emplace(each.group, std::move(view));
    }
    m_groups = std::move(updated);
}

void router::handle(const load_reported &in, time_point now, std::vector<output> &)
{
    const auto found = m_groups.find(in.report.group);
    if (found == m_groups.end() || found->second.group.epoch != in.report.epoch) {
        return;
    }
    group_view &view = found->second;
    const std::uint32_t total = in.report.running + in.report.waiting;
    const double others = total > in.report.own ? total - in.report.own : 0;
    view.othersLoad = view.hasReport ? view.othersLoad + newestReportWeight * (others - view.othersLoad) : others;
    view.report = in.report;
    view.refusedSinceReport = false;
    view.reportedAt = now;
    view.hasReport = true;
    if (in.report.cachedPrefix == 0) {
        return;
    }
    if (m_prefixRing.size() < maxPrefixes) {
        m_prefixRing.push_back(in.report.cachedPrefix);
    } else {
        m_groupByPrefix.erase(std::exchange(m_prefixRing[m_prefixRingIndex++ % maxPrefixes], in.report.cachedPrefix));
    }
    m_groupByPrefix[in.report.cachedPrefix] = in.report.group;
}

double router::outstanding(const group_view &view)
{
    return view.inFlight + view.othersLoad;
}

bool router::isAvailable(const group_view &view, time_point now) const
{
    if (now < view.ejectedUntil || (view.probing && view.inFlight > 0)) {
        return false;
    }
    if (!view.hasReport) {
        return view.inFlight == 0;
    }
    return view.report.accepting && !view.refusedSinceReport && outstanding(view) < std::max(1U, view.report.limit) * queueFactor;
}

std::vector<router::group_view *> router::candidatesFor(const route_requested &in, time_point now, std::size_t &knownGroups)
{
    std::vector<group_view *> candidates;
    for (auto &[group, view] : m_groups) {
        if (view.group.service != in.service) {
            continue;
        }
        ++knownGroups;
        if (!in.excludedGroups.contains(group) && isAvailable(view, now)) {
            candidates.push_back(&view);
        }
    }
    return candidates;
}

void router::handle(const route_requested &in, time_point now, std::vector<output> &out)
{
    std::size_t knownGroups = 0;
    const std::vector<group_view *> candidates = candidatesFor(in, now, knownGroups);
    if (candidates.empty()) {
        out.emplace_back(
            route_unavailable{in.request, knownGroups, fullRetryAfter, knownGroups == 0 ? "no group serves it" : "every group is full, ejected or excluded"});
        return;
    }
    group_view *chosen = std::visit([&](const auto &policy) { return choose(policy, candidates, in, now); }, m_policy);
    const std::string reason = "wait_ms=" + std::to_string(static_cast<int>(expectedWaitMs(*chosen, in.prefixDigest, now)))
                               + " outstanding=" + std::to_string(static_cast<int>(outstanding(*chosen))) + " limit=" + std::to_string(chosen->report.limit)
                               + (hasCachedPrefix(*chosen, in.prefixDigest) ? " prefix=cached" : "")
                               + (chosen->group.zone == m_ownZone ? " zone=own" : " zone=other");
    ++chosen->inFlight;
    if (chosen->probing) {
        out.emplace_back(group_probed{chosen->group.group});
    }
    out.emplace_back(route_chosen{in.request, chosen->group, candidates.size(), reason});
}

bool router::hasCachedPrefix(const group_view &view, std::uint64_t prefixDigest) const
{
    const auto found = prefixDigest == 0 ? m_groupByPrefix.end() : m_groupByPrefix.find(prefixDigest);
    return found != m_groupByPrefix.end() && found->second == view.group.group;
}

bool router::hasFreshSamples(const group_view &view, time_point now) const
{
    return view.samples > 0 && now < view.sampledAt + maxSampleAge;
}

router::expected_times router::expectedTimes(const group_view &view, time_point now) const
{
    if (hasFreshSamples(view, now)) {
        return {view.firstTokenMs, view.totalMs};
    }
    return medianTimes(view.group.service, now).value_or(expected_times{assumedFirstTokenMs, assumedTotalMs});
}

double router::expectedWaitMs(const group_view &view, std::uint64_t prefixDigest, time_point now) const
{
    const auto [firstToken, total] = expectedTimes(view, now);
    const double limit = std::max(1U, view.report.limit);
    const double load = outstanding(view);
    double wait = firstToken;
    if (load >= limit) {
        wait += total * (load - limit + 1) / limit;
    } else {
        // Latency depends on the batch size, not on the current limit. Dividing by the low limit of a cold
        // group would keep requests away from it, and its limit would never rise.
        wait += firstToken * load / std::max(1U, view.group.warmLimit);
    }
    if (hasCachedPrefix(view, prefixDigest)) {
        wait -= firstToken * cachedPrefixSaving;
    }
    if (view.group.zone != m_ownZone) {
        wait += otherZonePenaltyMs;
    }
    if (view.hasReport && now - view.reportedAt > maxReportAge) {
        wait += staleReportPenaltyMs;
    }
    return wait;
}

router::group_view *router::choose(const expected_wait_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now)
{
    std::vector<group_view *> sample;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample), policy.sampledGroups, m_random);
    const auto cached = std::find_if(candidates.begin(), candidates.end(), [&](const group_view *each) { return hasCachedPrefix(*each, in.prefixDigest); });
    if (cached != candidates.end()) {
        sample.push_back(*cached);
    }
    std::shuffle(sample.begin(), sample.end(), m_random);
    return *std::min_element(sample.begin(), sample.end(), [&](const group_view *left, const group_view *right) {
        return expectedWaitMs(*left, in.prefixDigest, now) < expectedWaitMs(*right, in.prefixDigest, now);
    });
}

router::group_view *router::choose(const random_policy &, const std::vector<group_view *> &candidates, const route_requested &, time_point)
{
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
}

router::group_view *router::choose(const round_robin_policy &, const std::vector<group_view *> &candidates, const route_requested &, time_point)
{
    return candidates[m_roundRobinIndex++ % candidates.size()];
}

router::group_view *router::choose(const least_outstanding_policy &, const std::vector<group_view *> &candidates, const route_requested &, time_point)
{
    return *std::min_element(
        candidates.begin(), candidates.end(), [](const group_view *left, const group_view *right) { return left->inFlight < right->inFlight; });
}

static double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::optional<router::expected_times> router::medianTimes(const service_id &service, time_point now) const
{
    std::vector<double> firstTokens;
    std::vector<double> totals;
    for (const auto &[group, view] : m_groups) {
        if (view.group.service == service && hasFreshSamples(view, now)) {
            firstTokens.push_back(view.firstTokenMs);
            totals.push_back(view.totalMs);
        }
    }
    if (firstTokens.empty()) {
        return std::nullopt;
    }
    return expected_times{medianOf(firstTokens), medianOf(totals)};
}

void router::eject(group_view &view, const std::string &reason, time_point now, std::vector<output> &out)
{
    view.ejectionTime = view.ejectionTime.count() == 0 ? baseEjectionTime : std::min(view.ejectionTime * 2, maxEjectionTime);
    view.ejectedUntil = now + view.ejectionTime;
    view.probing = true;
    view.consecutiveFailures = 0;
    view.samples = 0;
    out.emplace_back(group_ejected{view.group.group, view.ejectionTime, reason});
}

void router::handle(const attempt_ended &in, time_point now, std::vector<output> &out)
{
    const auto found = m_groups.find(in.group);
    if (found == m_groups.end()) {
        return;
    }
    group_view &view = found->second;
    view.inFlight -= view.inFlight > 0 ? 1 : 0;
    view.refusedSinceReport = view.refusedSinceReport || in.outcome == attempt_result::Refused;
    if (in.outcome == attempt_result::Cancelled || in.outcome == attempt_result::Refused) {
        return;
    }
    if (in.outcome == attempt_result::Failed) {
        if (++view.consecutiveFailures >= consecutiveFailuresToEject || view.probing) {
            eject(view, "failures", now, out);
        }
        return;
    }
    view.consecutiveFailures = 0;
    const auto updateAverage = [&](double &average, duration sample) {
        const auto value = static_cast<double>(sample.count());
        average = view.samples == 0 ? value : average + newestSampleWeight * (value - average);
    };
    updateAverage(view.firstTokenMs, in.firstToken);
    updateAverage(view.totalMs, in.total);
    ++view.samples;
    view.sampledAt = now;
    const double median = medianTimes(view.group.service, now)->firstTokenMs;
    const bool slow = median > 0 && view.firstTokenMs > median * stragglerFactor;
    if (slow && (view.samples >= minStragglerSamples || view.probing)) {
        eject(view, "straggler", now, out);
        return;
    }
    if (view.probing) {
        view.probing = false;
        view.ejectionTime = duration(0);
    }
}

} // namespace carawayloft
