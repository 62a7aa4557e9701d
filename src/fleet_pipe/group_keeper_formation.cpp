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

/** Time after which free backend servers that no group can be formed of load another model. */
static constexpr duration strandedTime{1'500};

/** Time without another backend server after which all that there are at the first start have announced themselves. */
static constexpr duration arrivalPause{350};

/** Stands for less than one group, so that a model without any counts as the most loaded. */
static constexpr double smallestGroupCount = 0.01;

/** Time that a group of unknown origin has to show all its members. */
static constexpr duration adoptionTime{2'000};

/** Time after which members whose head never showed up are free. */
static constexpr duration headlessTime{8'000};

/** The work of the model, for weighing models against each other. */
static double workOf(const model_profile &model)
{
    return model.share;
}

std::size_t group_keeper::domain_pool::free(const model_id &model) const
{
    const auto sizeIn = [&](const auto &pools) {
        const auto each = pools.find(model);
        return each == pools.end() ? std::size_t{0} : each->second.size();
    };
    const auto under = preparing.find(model);
    return sizeIn(hot) + sizeIn(warm) + (under == preparing.end() ? 0 : under->second);
}

std::size_t group_keeper::domain_pool::stranded(const model_profile &model) const
{
    const auto ready = hot.find(model.model);
    return ready == hot.end() ? 0 : std::min(ready->second.size(), free(model.model) % model.hostsPerGroup);
}

std::size_t group_keeper::domain_pool::held(const model_id &model) const
{
    const auto members = grouped.find(model);
    return free(model) + (members == grouped.end() ? 0 : members->second);
}

std::size_t group_keeper::domain_pool::size() const
{
    std::size_t sum = empty.size();
    for (const auto &[model, backends] : hot) {
        sum += backends.size();
    }
    for (const auto &[model, backends] : warm) {
        sum += backends.size();
    }
    for (const auto &[model, count] : preparing) {
        sum += count;
    }
    for (const auto &[model, count] : grouped) {
        sum += count;
    }
    return sum;
}

void group_keeper::findServing()
{
    m_serving.clear();
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool isHead = report.rank == 0 && (entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining);
        if (isHead && (report.state == membership_state::Open || report.state == membership_state::Closing)) {
            m_serving.insert(report.epoch);
        }
    }
}

/**
 * Whether the head of a retired group may still serve: nobody reached it, and this member was away too, so
 * that both may just have been cut off.
 */
bool group_keeper::headMayServe(const backend_registry::entry &entry) const
{
    const group_epoch epoch = entry.record.membership.epoch;
    const auto unsure = m_unsure.find(epoch);
    if (m_serving.contains(epoch)) {
        return true;
    }
    if (unsure == m_unsure.end() || m_now >= entry.returnedAt + headlessTime) {
        return false;
    }
    const backend_registry::entry *head = entryOf(unsure->second);
    const bool isBack = head != nullptr && head->record.state != backend_state::Lost && head->heardAt >= entry.returnedAt - headlessTime;
    return !isBack;
}

void group_keeper::adoptUnknown()
{
    std::map<group_epoch, std::map<std::uint32_t, backend_id>> seen;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool usable = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const auto standby = m_standby.find(id);
        const bool isStandby = standby != m_standby.end() && standby->second.epoch == report.epoch;
        const bool isOver = m_retired.contains(report.epoch) && !m_serving.contains(report.epoch);
        if (usable && report.epoch.value() != 0 && !isStandby && !m_groups.contains(report.epoch) && !isOver) {
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
    return workOf(model) / static_cast<double>(groupsOf(model.model) + 1);
}

std::vector<const model_profile *> group_keeper::byNeed(const served_service &service) const
{
    std::vector<const model_profile *> models;
    for (const model_profile &each : service.engine->models) {
        models.push_back(&each);
    }
    std::stable_sort(models.begin(), models.end(), [this](const model_profile *left, const model_profile *right) { return need(*left) > need(*right); });
    return models;
}

/** The group that a backend server is a member of, or nullptr. */
const group_keeper::managed_group *group_keeper::groupOf(const backend_id &backend) const
{
    const auto found = std::find_if(m_groups.begin(), m_groups.end(), [&](const auto &each) {
        const std::vector<backend_id> &members = each.second.group.members;
        return std::find(members.begin(), members.end(), backend) != members.end();
    });
    return found == m_groups.end() ? nullptr : &found->second;
}

bool group_keeper::isFree(const backend_registry::entry &entry) const
{
    if (entry.record.state != backend_state::Ready || m_view->zonesOut.contains(entry.record.zone)) {
        return false;
    }
    if (m_standby.contains(entry.record.backend) || groupOf(entry.record.backend) != nullptr) {
        return false;
    }
    const group_epoch epoch = entry.record.membership.epoch;
    return epoch.value() == 0 || (m_retired.contains(epoch) && !headMayServe(entry));
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
        } else if (const managed_group *group = groupOf(id)) {
            ++pool.grouped[group->group.model];
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

/** Before there is traffic, a plan is only made once no more backend servers turn up. */
bool group_keeper::stillArriving()
{
    const std::size_t count = m_view->registry.entries().size();
    if (count != m_arrived) {
        m_arrived = count;
        m_arrivedAt = m_now;
    }
    return !m_view->traffic && m_groups.empty() && m_standby.empty() && m_now < m_arrivedAt + arrivalPause;
}

void group_keeper::planService(const served_service &service)
{
    std::map<fabric_domain_id, domain_pool> pools;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const fabric_domain_id &domain = entry.record.fabricDomain;
        if (entry.record.service == service.service && !domain.value().empty() && !pools.contains(domain)) {
            pools.emplace(domain, poolOf(service, domain));
        }
    }
    for (auto &[domain, pool] : pools) {
        while (formOne(service, pool)) {
        }
    }
    const std::map<fabric_domain_id, domain_target> wanted = targets(service, pools);
    for (auto &[domain, pool] : pools) {
        prepare(service, pool, wanted.at(domain));
        convertStranded(service, domain, pool);
    }
}

/** Every way to fill @p servers with whole groups so that no other group fits; groups by place in @p models. */
static void addCompositions(
    const std::vector<model_profile> &models, std::size_t at, std::size_t servers, std::vector<std::size_t> &chosen, std::vector<std::vector<std::size_t>> &out)
{
    if (at == models.size()) {
        const bool full = std::none_of(models.begin(), models.end(), [&](const model_profile &each) { return each.hostsPerGroup <= servers; });
        if (full) {
            out.push_back(chosen);
        }
        return;
    }
    for (std::size_t groups = 0; groups * models[at].hostsPerGroup <= servers; ++groups) {
        chosen.push_back(groups);
        addCompositions(models, at + 1, servers - groups * models[at].hostsPerGroup, chosen, out);
        chosen.pop_back();
    }
}

/**
 * What every fabric domain should hold: the whole groups that leave the least work to the most loaded model
 * of the fleet, as few models as possible where that makes no difference, since survivors of a lost group
 * then serve as spares for other groups there. What is left over are spares.
 */
std::map<fabric_domain_id, group_keeper::domain_target> group_keeper::targets(const served_service &service,
                                                                              const std::map<fabric_domain_id, domain_pool> &pools) const
{
    const std::vector<model_profile> &models = service.engine->models;
    std::map<fabric_domain_id, domain_target> wanted;
    std::vector<std::size_t> groups(models.size(), 0);
    for (const auto &[domain, pool] : pools) {
        std::vector<std::vector<std::size_t>> compositions;
        std::vector<std::size_t> chosen;
        addCompositions(models, 0, pool.size(), chosen, compositions);
        const auto cost = [&](const std::vector<std::size_t> &composition) {
            double most = 0.0;
            std::size_t kinds = 0;
            for (std::size_t i = 0; i < models.size(); ++i) {
                most = std::max(most, workOf(models[i]) / (static_cast<double>(groups[i] + composition[i]) + smallestGroupCount));
                kinds += composition[i] > 0 ? 1 : 0;
            }
            return std::pair(most, kinds);
        };
        const auto best
            = std::min_element(compositions.begin(), compositions.end(), [&](const auto &one, const auto &other) { return cost(one) < cost(other); });
        domain_target &target = wanted[domain];
        std::size_t spares = pool.size();
        for (std::size_t i = 0; i < models.size(); ++i) {
            groups[i] += (*best)[i];
            target[models[i].model] = (*best)[i] * models[i].hostsPerGroup;
            spares -= target[models[i].model];
        }
        addSpares(models, spares, target);
    }
    return wanted;
}

/** Spares of each model in proportion to the members that can fail. */
void group_keeper::addSpares(const std::vector<model_profile> &models, std::size_t spares, domain_target &target)
{
    const domain_target grouped = target;
    for (; spares > 0; --spares) {
        const auto worth = [&](const model_profile &model) {
            const auto members = grouped.find(model.model);
            const std::size_t count = members == grouped.end() ? 0 : members->second;
            return static_cast<double>(count) / static_cast<double>(target[model.model] - count + 1);
        };
        const auto best
            = std::max_element(models.begin(), models.end(), [&](const model_profile &one, const model_profile &other) { return worth(one) < worth(other); });
        ++target[best->model];
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

void group_keeper::prepare(const served_service &service, domain_pool &pool, const domain_target &target)
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
        const auto lacking = [&](const model_profile &model) {
            const auto wanted = target.find(model.model);
            return static_cast<std::ptrdiff_t>(wanted == target.end() ? 0 : wanted->second) - static_cast<std::ptrdiff_t>(pool.held(model.model));
        };
        const auto &models = service.engine->models;
        const auto best = std::max_element(
            models.begin(), models.end(), [&](const model_profile &one, const model_profile &other) { return lacking(one) < lacking(other); });
        ++pool.preparing[best->model];
        startStandby(service, *best, pool.empty.back(), true);
        pool.empty.pop_back();
    }
}

/**
 * Free backend servers that wait in vain for others with their model load another one, if that completes a
 * group.
 */
void group_keeper::convertStranded(const served_service &service, const fabric_domain_id &domain, domain_pool &pool)
{
    const model_profile *best = nullptr;
    std::size_t bestMissing = 0;
    for (const model_profile *model : byNeed(service)) {
        const std::size_t held = pool.free(model->model);
        std::size_t donors = 0;
        for (const model_profile &other : service.engine->models) {
            donors += other.model == model->model ? 0 : pool.stranded(other);
        }
        const std::size_t missing = model->hostsPerGroup - std::min<std::size_t>(held, model->hostsPerGroup);
        if (held > 0 && missing > 0 && missing <= donors && (best == nullptr || missing < bestMissing)) {
            best = model;
            bestMissing = missing;
        }
    }
    if (best == nullptr) {
        m_strandedSince.erase(domain);
        return;
    }
    const time_point since = m_strandedSince.try_emplace(domain, m_now).first->second;
    if (m_now < since + strandedTime) {
        return;
    }
    for (const model_profile &other : service.engine->models) {
        std::vector<backend_id> &backends = pool.hot[other.model];
        for (std::size_t spare = other.model == best->model ? 0 : pool.stranded(other); spare > 0 && bestMissing > 0 && mayLoad(service); --spare) {
            startStandby(service, *best, backends.back(), true);
            backends.pop_back();
            --bestMissing;
        }
    }
}

bool group_keeper::mayLoad(const served_service &service) const
{
    const auto recent = std::count_if(m_loads.begin(), m_loads.end(), [this](const time_point &each) { return m_now < each + loadWindow; });
    const double allowed = service.engine->loadsPerSecond * std::chrono::duration<double>(loadWindow).count() * usedLoadShare;
    const auto loading = std::count_if(m_standby.begin(), m_standby.end(), [](const auto &each) { return each.second.loads; });
    return (!m_view->traffic || static_cast<double>(recent) < allowed) && loading < static_cast<std::ptrdiff_t>(service.engine->loadsAtOnce);
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
