#include <carawayloft/fleet/group_keeper.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Time in which an engine joins when its last group had the same model. */
static constexpr engine_time hotJoinTime{200};

/** Slack on top of the expected time of a join, for orders that are given again. */
static constexpr duration joinSlack{4'000};

/** Loads slow each other down; a load is given up after this many times its own time. */
static constexpr double loadPatience = 3.0;

/** Span in which the weight store counts the loads that begin, and the part of its limit that is used. */
static constexpr duration loadWindow{5'000};
static constexpr double usedLoadShare = 0.9;

/** Time that a group of unknown origin has to show all its members. */
static constexpr duration adoptionTime{2'000};

/** Time after which members whose head never showed up are free. */
static constexpr duration headlessTime{8'000};

std::size_t group_keeper::domain_pool::held(const model_id &model) const
{
    const auto countIn = [&](const auto &pool) {
        const auto found = pool.find(model);
        return found == pool.end() ? std::size_t{0} : found->second.size();
    };
    const auto under = preparing.find(model);
    return countIn(hot) + countIn(warm) + (under == preparing.end() ? 0 : under->second);
}

void group_keeper::adoptUnknown()
{
    std::map<group_epoch, std::map<std::uint32_t, backend_id>> seen;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool usable = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const auto standby = m_standby.find(id);
        const bool isStandby = standby != m_standby.end() && standby->second.epoch == report.epoch;
        if (usable && report.epoch.value() != 0 && !isStandby && !m_groups.contains(report.epoch) && !m_retired.contains(report.epoch)) {
            seen[report.epoch].emplace(report.rank, id);
        }
    }
    std::erase_if(m_unknownSince, [&](const auto &each) { return !seen.contains(each.first); });
    for (const auto &[epoch, ranks] : seen) {
        m_unknownSince.emplace(epoch, m_now);
        adopt(epoch, ranks);
    }
}

/** Takes over a group that another leader formed, or frees its members once its head surely does not serve. */
void group_keeper::adopt(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks)
{
    const auto head = ranks.find(0);
    const duration known = std::chrono::duration_cast<duration>(m_now - m_unknownSince.at(epoch));
    if (head == ranks.end()) {
        if (known >= headlessTime) {
            m_retired.insert(epoch);
        }
        return;
    }
    const backend_record &record = entryOf(head->second)->record;
    if (record.membership.state != membership_state::Open && record.membership.state != membership_state::Closing) {
        m_retired.insert(epoch);
        return;
    }
    const model_profile *model = nullptr;
    for (const served_service &each : m_view->services) {
        if (each.service == record.service && each.engine) {
            const auto found = std::find_if(
                each.engine->models.begin(), each.engine->models.end(), [&](const model_profile &profile) { return profile.model == record.loaded; });
            model = found == each.engine->models.end() ? nullptr : &*found;
        }
    }
    const bool whole = model != nullptr && ranks.size() == model->hostsPerGroup && ranks.rbegin()->first + 1 == model->hostsPerGroup;
    if (!whole && known < adoptionTime) {
        return;
    }
    managed_group group;
    group.group = {epoch, record.service, record.loaded, group_phase::Open, {}};
    for (const auto &[rank, member] : ranks) {
        group.group.members.push_back(member);
        group.startedAt.push_back(entryOf(member)->record.startedAt);
    }
    managed_group &placed = m_groups.emplace(epoch, std::move(group)).first->second;
    if (whole) {
        setPhase(placed, group_phase::Open, "taken over from what its members report");
    } else {
        close(placed, true, "taken over without all its members");
    }
}

std::size_t group_keeper::groupsOf(const model_id &model) const
{
    return static_cast<std::size_t>(std::count_if(m_groups.begin(), m_groups.end(), [&](const auto &each) {
        return each.second.group.model == model && each.second.group.phase != group_phase::Closing;
    }));
}

/** How much work would fall to one more group of the model. */
double group_keeper::need(const model_profile &model) const
{
    return model.share / static_cast<double>(groupsOf(model.model) + 1);
}

std::vector<const model_profile *> group_keeper::byNeed(const served_service &service) const
{
    std::vector<const model_profile *> models;
    for (const model_profile &each : service.engine->models) {
        models.push_back(&each);
    }
    std::stable_sort(
        models.begin(), models.end(), [this](const model_profile *left, const model_profile *right) { return need(*left) > need(*right); });
    return models;
}

bool group_keeper::isFree(const backend_registry::entry &entry) const
{
    if (entry.record.state != backend_state::Ready || m_view->zonesOut.contains(entry.record.zone)) {
        return false;
    }
    const bool assigned = std::any_of(m_groups.begin(), m_groups.end(), [&](const auto &each) {
        const std::vector<backend_id> &members = each.second.group.members;
        return std::find(members.begin(), members.end(), entry.record.backend) != members.end();
    });
    if (assigned || m_standby.contains(entry.record.backend)) {
        return false;
    }
    const group_epoch epoch = entry.record.membership.epoch;
    return epoch.value() == 0 || m_retired.contains(epoch);
}

group_keeper::domain_pool group_keeper::poolOf(const served_service &service, const fabric_domain_id &domain) const
{
    domain_pool pool;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const backend_record &record = entry.record;
        if (record.service != service.service || record.fabricDomain != domain) {
            continue;
        }
        if (const auto standby = m_standby.find(id); standby != m_standby.end()) {
            ++pool.preparing[standby->second.model];
        } else if (!isFree(entry)) {
            continue;
        } else if (!record.loaded.value().empty()) {
            pool.hot[record.loaded].push_back(id);
        } else if (!record.staged.empty()) {
            pool.warm[record.staged.back()].push_back(id);
        } else {
            pool.empty.push_back(id);
        }
    }
    return pool;
}

void group_keeper::planService(const served_service &service)
{
    std::set<fabric_domain_id> domains;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        if (entry.record.service == service.service && !entry.record.fabricDomain.value().empty()) {
            domains.insert(entry.record.fabricDomain);
        }
    }
    for (const fabric_domain_id &domain : domains) {
        domain_pool pool = poolOf(service, domain);
        while (formOne(service, pool)) {
        }
        prepare(service, pool);
    }
}

/** Forms the most needed group that the pool has members for. */
bool group_keeper::formOne(const served_service &service, domain_pool &pool)
{
    for (const model_profile *model : byNeed(service)) {
        std::vector<backend_id> &hot = pool.hot[model->model];
        std::vector<backend_id> &warm = pool.warm[model->model];
        if (hot.size() + warm.size() < model->hostsPerGroup) {
            continue;
        }
        std::vector<backend_id> members;
        engine_time expected = hotJoinTime;
        while (members.size() < model->hostsPerGroup) {
            std::vector<backend_id> &from = hot.empty() ? warm : hot;
            expected = hot.empty() ? std::max(expected, model->warmTime) : expected;
            members.push_back(from.front());
            from.erase(from.begin());
        }
        form(service, *model, std::move(members), expected);
        return true;
    }
    return false;
}

void group_keeper::form(const served_service &service, const model_profile &model, std::vector<backend_id> members, engine_time expected)
{
    const group_epoch epoch = nextEpoch();
    managed_group group;
    group.group = {epoch, service.service, model.model, group_phase::Forming, std::move(members)};
    group.due = m_now + std::chrono::ceil<duration>(expected) + joinSlack;
    for (const backend_id &member : group.group.members) {
        group.startedAt.push_back(entryOf(member)->record.startedAt);
    }
    managed_group &placed = m_groups.emplace(epoch, std::move(group)).first->second;
    setPhase(placed, group_phase::Forming, "its members hold the model");
    lookAtForming(placed);
}

/** The model that an empty backend server should hold: one that it helps to complete a group of, else as a spare. */
const model_profile &group_keeper::chooseToPrepare(const served_service &service, const domain_pool &pool) const
{
    const std::vector<const model_profile *> models = byNeed(service);
    const model_profile *begun = nullptr;
    const model_profile *possible = nullptr;
    for (const model_profile *model : models) {
        const std::size_t held = pool.held(model->model) % model->hostsPerGroup;
        if (model->hostsPerGroup - held > pool.empty.size()) {
            continue;
        }
        begun = begun == nullptr && held > 0 ? model : begun;
        possible = possible == nullptr ? model : possible;
    }
    if (begun != nullptr || possible != nullptr) {
        return begun != nullptr ? *begun : *possible;
    }
    const auto spareWorth = [&](const model_profile *model) {
        return static_cast<double>(groupsOf(model->model) * model->hostsPerGroup) / static_cast<double>(pool.held(model->model) + 1);
    };
    return **std::max_element(models.begin(), models.end(), [&](const model_profile *left, const model_profile *right) { return spareWorth(left) < spareWorth(right); });
}

void group_keeper::prepare(const served_service &service, domain_pool &pool)
{
    for (const auto &[model, backends] : pool.warm) {
        const auto profile = std::find_if(
            service.engine->models.begin(), service.engine->models.end(), [&, id = model](const model_profile &each) { return each.model == id; });
        if (profile == service.engine->models.end()) {
            pool.empty.insert(pool.empty.end(), backends.begin(), backends.end());
            continue;
        }
        for (const backend_id &backend : backends) {
            startStandby(service, *profile, backend, false);
        }
    }
    while (!pool.empty.empty() && mayLoad(service)) {
        const model_profile &model = chooseToPrepare(service, pool);
        ++pool.preparing[model.model];
        startStandby(service, model, pool.empty.back(), true);
        pool.empty.pop_back();
    }
}

bool group_keeper::mayLoad(const served_service &service) const
{
    const auto recent = std::count_if(m_loads.begin(), m_loads.end(), [this](const time_point &each) { return m_now < each + loadWindow; });
    const double allowed = service.engine->loadsPerSecond * std::chrono::duration<double>(loadWindow).count() * usedLoadShare;
    const auto loading = std::count_if(m_standby.begin(), m_standby.end(), [](const auto &each) { return each.second.loads; });
    return static_cast<double>(recent) < allowed && loading < static_cast<std::ptrdiff_t>(service.engine->loadsAtOnce);
}

void group_keeper::startStandby(const served_service &, const model_profile &model, const backend_id &backend, bool loads)
{
    standby &each = m_standby[backend];
    each = {nextEpoch(), model.model, entryOf(backend)->record.startedAt, {}, {}, loads};
    const engine_time expected = loads ? model.loadTime * loadPatience + model.warmTime : model.warmTime;
    each.due = m_now + std::chrono::ceil<duration>(expected) + joinSlack;
    if (loads) {
        m_loads.push_back(m_now);
    }
    while (!m_loads.empty() && m_now >= m_loads.front() + loadWindow) {
        m_loads.pop_front();
    }
    send(each.join, each.epoch, backend, join_group{each.epoch, model.model, {backend}}, orderResendDelay);
}

void group_keeper::lookAtStandby()
{
    for (auto each = m_standby.begin(); each != m_standby.end();) {
        const backend_id &backend = each->first;
        standby &waiting = each->second;
        const backend_registry::entry *entry = entryOf(backend);
        const bool gone = entry == nullptr || entry->record.state != backend_state::Ready || entry->record.startedAt != waiting.startedAt;
        const bool ready = !gone && entry->record.membership.epoch == waiting.epoch && entry->record.membership.state == membership_state::Ready;
        if (gone || ready || m_now >= waiting.due) {
            m_retired.insert(waiting.epoch);
            each = m_standby.erase(each);
            continue;
        }
        if (entry->record.membership.epoch != waiting.epoch) {
            waiting.join.answered = waiting.join.answered && m_now < waiting.join.sentAt + 2 * orderResendDelay;
            send(waiting.join, waiting.epoch, backend, join_group{waiting.epoch, waiting.model, {backend}}, orderResendDelay);
        }
        ++each;
    }
}

} // namespace carawayloft
