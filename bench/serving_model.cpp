#include "serving_model.h"

#include <carawayloft/core/overloaded.h>

#include <algorithm>
#include <cmath>

namespace carawayloft::bench {

static const service_id model("model");

static group_id idOf(unsigned index)
{
    return group_id(index + 1);
}

static attempt_key keyOf(std::uint64_t request)
{
    return {link_id(1), request_id(request), attempt_number(1)};
}

static availability_zone_id zoneName(unsigned zone)
{
    return availability_zone_id("zone-" + std::to_string(zone));
}

double model_result::quantile(double share) const
{
    if (firstTokenMs.empty()) {
        return 0;
    }
    std::vector<double> sorted = firstTokenMs;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

double model_result::usefulPerSecond(duration length) const
{
    return static_cast<double>(answeredInTime) / std::chrono::duration<double>(length).count();
}

serving_model::serving_model(model_options options)
    : m_options(options)
    , m_end(m_now + options.length)
    , m_random(options.seed)
{
    groups_changed directory;
    for (unsigned i = 0; i < m_options.groups; ++i) {
        group each;
        each.slowness = i < m_options.stragglers ? m_options.stragglerFactor : 1;
        each.zone = i % m_options.zones;
        each.admitted.step(concurrency_limits{m_options.coldLimit, m_options.warmLimit}, m_now);
        each.admitted.step(admission_gate{true, {}}, m_now);
        m_groups.push_back(std::move(each));
        directory.groups.push_back({idOf(i), group_epoch(1), model, zoneName(i % m_options.zones), endpoint(), m_options.warmLimit});
    }
    for (unsigned i = 0; i < m_options.entries; ++i) {
        m_entries.push_back(std::make_unique<entry>(entry{router(zoneName(i % m_options.zones), m_options.policy, m_options.seed + i), {}}));
        m_entries.back()->routes.step(directory, m_now);
    }
}

double serving_model::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void serving_model::after(duration delay, event call)
{
    m_events.push({m_now + delay, m_order++, std::move(call)});
}

model_result serving_model::run()
{
    for (unsigned i = 0; i < m_options.groups; ++i) {
        after(duration(static_cast<duration::rep>(uniform() * 250)), [this, i] { report(i); });
    }
    if (m_options.zoneOutAt.count() > 0) {
        after(m_options.zoneOutAt, [this] { takeZoneOut(); });
    }
    after(m_options.reportPeriod * 2, [this] { arrive(); });
    while (!m_events.empty()) {
        const scheduled next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.call();
    }
    return m_result;
}

void serving_model::arrive()
{
    if (m_now >= m_end) {
        return;
    }
    const std::uint64_t id = ++m_lastRequest;
    request &fresh = m_requests[id];
    fresh.entry = static_cast<unsigned>(m_random() % m_options.entries);
    fresh.prefix = 1 + m_random() % m_options.prefixes;
    fresh.begun = m_now;
    ++m_result.offered;
    route(id);
    const double gap = -std::log(1 - uniform()) * 1'000 / m_options.requestsPerSecond;
    after(duration(std::max<duration::rep>(1, static_cast<duration::rep>(gap))), [this] { arrive(); });
}

void serving_model::route(std::uint64_t id)
{
    request &request = m_requests.at(id);
    entry &from = *m_entries[request.entry];
    for (const router_output &each : from.routes.step(route_requested{request_id(id), model, request.prefix, request.excludedGroups}, m_now)) {
        if (const auto *chosen = std::get_if<route_chosen>(&each)) {
            request.group = static_cast<unsigned>(chosen->group.group.value() - 1);
            request.sentAt = m_now;
            const bool otherZone = m_groups[request.group].zone != request.entry % m_options.zones;
            after(duration(otherZone ? 2 : 1), [this, id] { deliver(id); });
        } else if (std::holds_alternative<route_unavailable>(each)) {
            ++m_result.refused;
            m_requests.erase(id);
        }
    }
}

void serving_model::deliver(std::uint64_t id)
{
    request &request = m_requests.at(id);
    request.deliveredAt = m_now;
    group &to = m_groups[request.group];
    ++to.presentFrom[request.entry];
    act(to.admitted.step(work_arrived{keyOf(id), client_account_id("a"), 1, work_priority::Interactive, request.begun + m_options.timeLimit}, m_now));
}

void serving_model::act(const std::vector<admission_output> &outputs)
{
    for (const admission_output &each : outputs) {
        std::visit(overloaded{
                       [this](const work_admitted &out) { begin(out.key.request.value()); },
                       [this](const work_rejected &out) { refuse(out.key.request.value()); },
                       [](const limit_changed &) {},
                   },
                   each);
    }
}

void serving_model::begin(std::uint64_t id)
{
    request &request = m_requests.at(id);
    group &at = m_groups[request.group];
    const double fill = static_cast<double>(at.admitted.running()) / m_options.warmLimit;
    const double saved = at.cached.contains(request.prefix) ? 0.5 : 1;
    at.cached.insert(request.prefix);
    at.lastPrefix = request.prefix;
    // Continuous batching: each answer slows down a little as the batch grows.
    const double prefill = static_cast<double>(m_options.prefill.count()) * at.slowness * saved * (1 + fill);
    const double decode = static_cast<double>(m_options.decode.count()) * at.slowness * (0.5 + 0.5 * fill) * (0.8 + 0.4 * uniform());
    request.waited = std::chrono::duration_cast<duration>(m_now - request.deliveredAt);
    request.firstToken = std::chrono::duration_cast<duration>(m_now - request.begun) + duration(static_cast<duration::rep>(prefill));
    after(duration(static_cast<duration::rep>(prefill + decode)), [this, id] { finish(id); });
}

void serving_model::finish(std::uint64_t id)
{
    const request request = m_requests.at(id);
    m_requests.erase(id);
    group &at = m_groups[request.group];
    --at.presentFrom[request.entry];
    const duration sent = std::chrono::duration_cast<duration>(request.sentAt - request.begun);
    m_entries[request.entry]->routes.step(attempt_ended{idOf(request.group),
                                                        attempt_result::Answered,
                                                        request.firstToken - sent - request.waited,
                                                        std::chrono::duration_cast<duration>(m_now - request.sentAt) - request.waited},
                                          m_now);
    m_entries[request.entry]->budget.recordSuccess();
    if (m_now <= request.begun + m_options.timeLimit) {
        ++m_result.answeredInTime;
        m_result.firstTokenMs.push_back(static_cast<double>(request.firstToken.count()));
    } else {
        ++m_result.late;
    }
    act(at.admitted.step(work_ended{keyOf(id), work_result::Done}, m_now));
}

void serving_model::refuse(std::uint64_t id)
{
    request &request = m_requests.at(id);
    entry &from = *m_entries[request.entry];
    --m_groups[request.group].presentFrom[request.entry];
    from.routes.step(attempt_ended{idOf(request.group), attempt_result::Refused, {}, {}}, m_now);
    request.excludedGroups.insert(idOf(request.group));
    if (m_now < request.begun + m_options.timeLimit && from.budget.tryTake()) {
        ++m_result.retries;
        after(duration(2), [this, id] { route(id); });
        return;
    }
    ++m_result.refused;
    m_requests.erase(id);
}

void serving_model::report(unsigned groupIndex)
{
    group &of = m_groups[groupIndex];
    act(of.admitted.step(admission_tick{}, m_now));
    for (unsigned i = 0; i < m_options.entries; ++i) {
        if (uniform() < m_options.lostReports) {
            continue;
        }
        const load_report sent{idOf(groupIndex),
                               group_epoch(1),
                               of.open,
                               of.admitted.isAtColdLimit(),
                               of.admitted.running(),
                               of.admitted.waiting(),
                               of.admitted.limit(),
                               of.presentFrom[i],
                               of.lastPrefix};
        after(m_options.reportDelay, [this, i, sent] { m_entries[i]->routes.step(load_reported{sent}, m_now); });
    }
    if (m_now < m_end) {
        after(m_options.reportPeriod, [this, groupIndex] { report(groupIndex); });
    }
}

void serving_model::takeZoneOut()
{
    for (unsigned i = 0; i < m_options.groups; ++i) {
        if (m_groups[i].zone == 0) {
            m_groups[i].open = false;
            act(m_groups[i].admitted.step(admission_gate{false, refusal_reason::ZoneOut}, m_now));
        }
    }
}

} // namespace carawayloft::bench
