#include <carawayloft/fleet/backend_registry.h>

#include <carawayloft/fleet/request_limit.h>

namespace carawayloft {

std::vector<backend_registry::output> backend_registry::step(const input &in, time_point now)
{
    return std::visit([&](const auto &each) { return handle(each, now); }, in);
}

const backend_registry::entry *backend_registry::find(const backend_id &backend) const
{
    const auto found = m_entries.find(backend);
    return found == m_entries.end() ? nullptr : &found->second;
}

/** Marks servers that started earlier at the same address as left; returns false if a later start already uses it. */
bool backend_registry::supersedeOlderAtAddress(const backend_record &record, time_point now, std::vector<output> &out)
{
    for (auto &[id, other] : m_entries) {
        if (id == record.backend || other.record.address != record.address || other.record.state == backend_state::Left) {
            continue;
        }
        if (other.record.startedAt > record.startedAt) {
            return false;
        }
        const bool crashed = other.record.state != backend_state::Draining && !other.confirmedDown;
        other.record.state = backend_state::Left;
        other.confirmedDown = true;
        other.replaced = true;
        other.lostAt = now;
        out.push_back({id, crashed});
    }
    return true;
}

/** Compares all but the amount of remaining cold time, which changes with every announcement. */
static bool recordsDiffer(const backend_record &left, const backend_record &right)
{
    return left.state != right.state || left.address != right.address || left.startedAt != right.startedAt || left.staged != right.staged
           || left.loaded != right.loaded || left.membership != right.membership || left.zone != right.zone || left.service != right.service
           || left.fabricDomain != right.fabricDomain || (left.coldLeft.count() > 0) != (right.coldLeft.count() > 0);
}

std::vector<backend_registry::output> backend_registry::handle(const backend_check_in &in, time_point now)
{
    std::vector<output> out;
    const auto known = m_entries.find(in.record.backend);
    const bool sameStart = known != m_entries.end() && known->second.record.startedAt == in.record.startedAt;
    if (known != m_entries.end()) {
        const entry &before = known->second;
        const bool late = sameStart ? in.record.announcement <= before.record.announcement : in.record.startedAt < before.record.startedAt;
        if (late || (sameStart && before.record.state == backend_state::Left)) {
            return out;
        }
    }
    if (!supersedeOlderAtAddress(in.record, now, out)) {
        return out;
    }
    entry &current = m_entries[in.record.backend];
    backend_record record = in.record;
    current.leaves = (sameStart && current.leaves) || hasDeparted(record);
    if (current.leaves && record.state == backend_state::Ready) {
        record.state = backend_state::Draining;
    }
    record.requestLimit = sameStart ? current.record.requestLimit : 0.0;
    if (sameStart && record.loaded.value().empty()) {
        record.loaded = current.record.loaded;
    }
    if (sameStart && record.fabricDomain.value().empty()) {
        record.fabricDomain = current.record.fabricDomain; // It does not change while the server runs.
    }
    if (!sameStart || recordsDiffer(current.record, record)) {
        const bool wasReady = current.record.state == backend_state::Ready || current.record.state == backend_state::Lost;
        const bool crashed = known != m_entries.end() && !sameStart && wasReady && !current.confirmedDown;
        out.push_back({record.backend, crashed});
    }
    current.record = std::move(record);
    current.heardAt = now;
    current.coldUntil = now + in.record.coldLeft;
    current.confirmedDown = false;
    current.replaced = false;
    return out;
}

std::vector<backend_registry::output> backend_registry::handle(const backend_departure &in, time_point now)
{
    const auto known = m_entries.find(in.backend);
    if (known == m_entries.end() || known->second.record.state == backend_state::Left) {
        return {};
    }
    known->second.record.state = backend_state::Left;
    known->second.lostAt = now;
    return {{in.backend}};
}

std::vector<backend_registry::output> backend_registry::handle(const backend_leaving &in, time_point)
{
    const auto known = m_entries.find(in.backend);
    if (known == m_entries.end() || known->second.record.startedAt != in.startedAt) {
        return {};
    }
    known->second.leaves = true;
    if (known->second.record.state != backend_state::Ready) {
        return {};
    }
    known->second.record.state = backend_state::Draining;
    return {{in.backend}};
}

/** Whether the run of the server that the record is about has announced its departure. */
bool backend_registry::hasDeparted(const backend_record &record) const
{
    const auto departed = m_departures.find(record.backend);
    return departed != m_departures.end() && record.startedAt <= departed->second;
}

std::vector<backend_registry::output> backend_registry::handle(const departures_recorded &in, time_point)
{
    m_departures.clear();
    for (const departure_record &each : in.departures) {
        m_departures.emplace(each.backend, each.startedAt);
    }
    std::vector<output> out;
    for (auto &[id, each] : m_entries) {
        each.leaves = each.leaves || hasDeparted(each.record);
        if (each.leaves && each.record.state == backend_state::Ready) {
            each.record.state = backend_state::Draining;
            out.push_back({id});
        }
    }
    return out;
}

std::vector<backend_registry::output> backend_registry::handle(const backend_failure &in, time_point now)
{
    const auto known = m_entries.find(in.backend);
    if (known == m_entries.end()) {
        return {};
    }
    entry &current = known->second;
    const bool wasDown = current.confirmedDown;
    if (current.record.state == backend_state::Lost || current.record.state == backend_state::Left) {
        const bool crashed = in.confirmed && !wasDown && current.record.state == backend_state::Lost;
        current.confirmedDown = wasDown || in.confirmed;
        return crashed ? std::vector<output>{{in.backend, true}} : std::vector<output>();
    }
    const bool wasReady = current.record.state == backend_state::Ready;
    current.record.state = backend_state::Lost;
    current.record.membership = {};
    current.confirmedDown = in.confirmed;
    current.lostAt = now;
    return {{in.backend, in.confirmed && wasReady}};
}

std::vector<backend_registry::output> backend_registry::handle(const backend_record_expired &in, time_point)
{
    m_entries.erase(in.backend);
    return {};
}

std::vector<backend_registry::output> backend_registry::handle(const mirrored_backend_record &in, time_point now)
{
    if (m_entries.contains(in.record.backend)) {
        return {};
    }
    entry &placed = m_entries[in.record.backend];
    placed = {in.record, now, now + in.record.coldLeft, now, {}, false, false, hasDeparted(in.record)};
    if (placed.leaves && placed.record.state == backend_state::Ready) {
        placed.record.state = backend_state::Draining;
    }
    return {};
}

/** Takes the limit in the latest answer to any gateway. */
std::vector<backend_registry::output> backend_registry::handle(const request_limit_named &in, time_point)
{
    const auto known = m_entries.find(in.backend);
    if (known == m_entries.end() || in.at <= known->second.limitNamedAt) {
        return {};
    }
    known->second.limitNamedAt = in.at;
    if (!requestLimitsDiffer(known->second.record.requestLimit, in.requestsPerSecond)) {
        return {};
    }
    known->second.record.requestLimit = in.requestsPerSecond;
    return {{in.backend}};
}

} // namespace carawayloft
