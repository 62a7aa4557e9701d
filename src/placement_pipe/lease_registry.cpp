#include <carawayloft/placement/lease_registry.h>

#include <carawayloft/backend/lease_terms.h>

#include <algorithm>

namespace carawayloft {

/** A host that was not heard of for this long counts as lost. */
static constexpr duration silenceToLost = controlLeaseRenewalPeriod * 5 / 2;

static group_epoch grantableEpoch(const renewal_received &in)
{
    const lease_renewal &renewal = in.renewal;
    const host_record *host = in.fleet.host(renewal.host);
    const group_record *group = in.fleet.groupOf(renewal.host);
    const bool leads = group != nullptr && group->hosts.front() == renewal.host && group->epoch == renewal.epoch;
    const bool known = host != nullptr && host->agentIncarnation == renewal.agentIncarnation && !host->leaving;
    if (!in.mayGrant || !leads || !known || renewal.stopping || group->state != group_state::Active || !in.fleet.acceptsWork(host->zone)) {
        return group_epoch();
    }
    return group->epoch;
}

std::vector<lease_registry::output> lease_registry::step(const input &in, time_point now)
{
    if (std::holds_alternative<leadership_acquired>(in)) {
        m_hosts.clear();
        m_since = now;
        return {};
    }
    const auto &received = std::get<renewal_received>(in);
    host_view &view = m_hosts[received.renewal.host];
    const bool sameTrouble = view.missingSince && view.report.epoch == received.renewal.epoch;
    view.report = received.renewal;
    view.heardAt = now;
    if (received.renewal.missing.empty()) {
        view.missingSince.reset();
    } else if (!sameTrouble) {
        view.missingSince = now;
    }
    const group_epoch epoch = grantableEpoch(received);
    if (epoch.value() != 0) {
        view.promisedUntil = now + grantorLeaseTime(controlLeaseLength);
    }
    return {lease_grant{received.renewal.round, epoch, controlLeaseLength, received.fleet.at()}};
}

bool lease_registry::predecessorLeasesExpired(time_point now) const
{
    return now >= m_since + grantorLeaseTime(controlLeaseLength);
}

bool lease_registry::isLive(const host_id &host, const fleet_state &fleet, time_point now) const
{
    const auto isHeard = [&](const host_id &each) {
        const auto view = m_hosts.find(each);
        return view != m_hosts.end() && now < view->second.heardAt + silenceToLost;
    };
    if (isHeard(host)) {
        return true;
    }
    const group_record *group = fleet.groupOf(host);
    if (group == nullptr || !isHeard(group->hosts.front())) {
        return false;
    }
    const lease_renewal &report = m_hosts.at(group->hosts.front()).report;
    return report.epoch == group->epoch && std::find(report.missing.begin(), report.missing.end(), host) == report.missing.end();
}

bool lease_registry::isLeaseExpired(const host_id &host, time_point now) const
{
    const auto view = m_hosts.find(host);
    return predecessorLeasesExpired(now) && (view == m_hosts.end() || now >= view->second.promisedUntil);
}

const lease_renewal *lease_registry::latestReport(const group_record &group) const
{
    const auto view = m_hosts.find(group.hosts.front());
    const bool current = view != m_hosts.end() && view->second.report.group == group.group && view->second.report.epoch == group.epoch;
    return current ? &view->second.report : nullptr;
}

std::optional<time_point> lease_registry::missingSince(const group_record &group) const
{
    return latestReport(group) == nullptr ? std::nullopt : m_hosts.at(group.hosts.front()).missingSince;
}

bool lease_registry::isServing(const group_record &group, time_point now) const
{
    const lease_renewal *report = latestReport(group);
    const bool heard = report != nullptr && now < m_hosts.at(group.hosts.front()).heardAt + silenceToLost;
    return heard && report->backendUp && report->missing.empty();
}

} // namespace carawayloft
