#include <carawayloft/request/router.h>

#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Weight of the newest sample in a moving average. */
static constexpr double newestSampleWeight = 0.2;

/** Weight of the newest report in the average of what other entries have at a group. */
static constexpr double newestReportWeight = 0.3;

/** Assumed before the first sample of any group of the service. */
static constexpr double assumedFirstTokenMs = 200;
static constexpr double assumedTotalMs = 1'000;

/** A group without a newer sample is taken to be like the others again, so that it gets work and shows how it does. */
static constexpr duration maxSampleAge{10'000};

/** Cost of leaving the own availability zone, both ways, with room for a slow link. */
static constexpr double otherZoneMs = 5;

/** Share of the time to the first token that a cached prompt beginning saves. */
static constexpr double prefixSaving = 0.5;

/** A report older than this is no longer believed. */
static constexpr duration maxReportAge{4'000};
static constexpr double silentGroupMs = 2'000;

/** A group may have this many times its limit outstanding before it counts as full. */
static constexpr std::uint32_t queueFactor = 2;

static constexpr unsigned failuresToEject = 3;
static constexpr duration firstEjection{1'000};
static constexpr duration longestEjection{30'000};

/** A group this many times slower than the median is ejected, after enough samples. */
static constexpr double stragglerFactor = 6;
static constexpr unsigned stragglerSamples = 8;

static constexpr std::size_t maxPrefixes = 4'096;

/** What a caller is told to wait when every group is full. */
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
    std::visit([&](const auto &each) { take(each, now, out); }, in);
    return out;
}

void router::take(const groups_changed &in, time_point, std::vector<output> &)
{
    std::map<group_id, group_view> fresh;
    for (const routable_group &each : in.groups) {
        const auto known = m_groups.find(each.group);
        group_view view;
        if (known != m_groups.end() && known->second.group.epoch == each.epoch) {
            view = std::move(known->second);
        }
        view.group = each;
        fresh.emplace(each.group, std::move(view));
    }
    m_groups = std::move(fresh);
}

void router::take(const load_reported &in, time_point now, std::vector<output> &)
{
    const auto found = m_groups.find(in.report.group);
    if (found == m_groups.end() || found->second.group.epoch != in.report.epoch) {
        return;
    }
    group_view &view = found->second;
    const std::uint32_t total = in.report.running + in.report.waiting;
    const double others = total > in.report.own ? total - in.report.own : 0;
    view.othersLoad = view.reported ? view.othersLoad + newestReportWeight * (others - view.othersLoad) : others;
    view.report = in.report;
    view.refusedSinceReport = false;
    view.reportedAt = now;
    view.reported = true;
    if (in.report.cachedPrefix == 0) {
        return;
    }
    if (m_prefixOrder.size() < maxPrefixes) {
        m_prefixOrder.push_back(in.report.cachedPrefix);
    } else {
        m_prefixes.erase(std::exchange(m_prefixOrder[m_prefixTurn++ % maxPrefixes], in.report.cachedPrefix));
    }
    m_prefixes[in.report.cachedPrefix] = in.report.group;
}

double router::outstanding(const group_view &view)
{
    return view.inFlight + view.othersLoad;
}

bool router::isOpen(const group_view &view, time_point now) const
{
    if (now < view.ejectedUntil || (view.probing && view.inFlight > 0)) {
        return false;
    }
    if (!view.reported) {
        return view.inFlight == 0;
    }
    return view.report.accepting && !view.refusedSinceReport && outstanding(view) < std::max(1U, view.report.limit) * queueFactor;
}

std::vector<router::group_view *> router::candidatesFor(const route_requested &in, time_point now, std::size_t &known)
{
    std::vector<group_view *> candidates;
    for (auto &[group, view] : m_groups) {
        if (view.group.service != in.service) {
            continue;
        }
        ++known;
        if (!in.excludedGroups.contains(group) && isOpen(view, now)) {
            candidates.push_back(&view);
        }
    }
    return candidates;
}

void router::take(const route_requested &in, time_point now, std::vector<output> &out)
{
    std::size_t known = 0;
    const std::vector<group_view *> candidates = candidatesFor(in, now, known);
    if (candidates.empty()) {
        out.emplace_back(route_unavailable{in.request, known, fullRetryAfter, known == 0 ? "no group serves it" : "every group is full, ejected or refused"});
        return;
    }
    group_view *chosen = std::visit([&](const auto &policy) { return choose(policy, candidates, in, now); }, m_policy);
    const std::string reason = "wait_ms=" + std::to_string(static_cast<int>(expectedWaitMs(*chosen, in.prefixDigest, now)))
                               + " outstanding=" + std::to_string(static_cast<int>(outstanding(*chosen))) + " limit=" + std::to_string(chosen->report.limit)
                               + (hasPrefix(*chosen, in.prefixDigest) ? " prefix=cached" : "")
                               + (chosen->group.zone == m_ownZone ? " zone=own" : " zone=other");
    ++chosen->inFlight;
    if (chosen->probing) {
        out.emplace_back(group_probed{chosen->group.group});
    }
    out.emplace_back(route_chosen{in.request, chosen->group, candidates.size(), reason});
}

bool router::hasPrefix(const group_view &view, std::uint64_t prefixDigest) const
{
    const auto found = prefixDigest == 0 ? m_prefixes.end() : m_prefixes.find(prefixDigest);
    return found != m_prefixes.end() && found->second == view.group.group;
}

bool router::isFresh(const group_view &view, time_point now) const
{
    return view.samples > 0 && now < view.sampledAt + maxSampleAge;
}

router::expected_times router::expectedTimes(const group_view &view, time_point now) const
{
    if (isFresh(view, now)) {
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
        // What slows an answer down is the batch, not the limit: a cold group that is spared for its low
        // limit would never show that it can bear more.
        wait += firstToken * load / std::max(1U, view.group.warmLimit);
    }
    if (hasPrefix(view, prefixDigest)) {
        wait -= firstToken * prefixSaving;
    }
    if (view.group.zone != m_ownZone) {
        wait += otherZoneMs;
    }
    if (view.reported && now - view.reportedAt > maxReportAge) {
        wait += silentGroupMs;
    }
    return wait;
}

router::group_view *router::choose(const expected_wait_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now)
{
    std::vector<group_view *> sample;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample), policy.sampledGroups, m_random);
    const auto cached = std::find_if(candidates.begin(), candidates.end(), [&](const group_view *each) { return hasPrefix(*each, in.prefixDigest); });
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
    return candidates[m_turn++ % candidates.size()];
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
        if (view.group.service == service && isFresh(view, now)) {
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
    view.ejection = view.ejection.count() == 0 ? firstEjection : std::min(view.ejection * 2, longestEjection);
    view.ejectedUntil = now + view.ejection;
    view.probing = true;
    view.failuresInRow = 0;
    view.samples = 0;
    out.emplace_back(group_ejected{view.group.group, view.ejection, reason});
}

void router::take(const attempt_ended &in, time_point now, std::vector<output> &out)
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
        if (++view.failuresInRow >= failuresToEject || view.probing) {
            eject(view, "failures", now, out);
        }
        return;
    }
    view.failuresInRow = 0;
    const auto mix = [&](double &average, duration sample) {
        const auto value = static_cast<double>(sample.count());
        average = view.samples == 0 ? value : average + newestSampleWeight * (value - average);
    };
    mix(view.firstTokenMs, in.firstToken);
    mix(view.totalMs, in.total);
    ++view.samples;
    view.sampledAt = now;
    const double median = medianTimes(view.group.service, now)->firstTokenMs;
    const bool slow = median > 0 && view.firstTokenMs > median * stragglerFactor;
    if (slow && (view.samples >= stragglerSamples || view.probing)) {
        eject(view, "straggler", now, out);
        return;
    }
    if (view.probing) {
        view.probing = false;
        view.ejection = duration(0);
    }
}

} // namespace carawayloft
