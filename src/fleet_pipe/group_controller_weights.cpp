#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/** Slack on top of the expected time of a join or a load, for orders that are given again. */
static constexpr duration orderSlack{4'000};

/** Loads slow each other down; a load is given up after this many times its own time. */
static constexpr double loadPatience = 3.0;

/** Span in which the weight store counts the loads that begin, and the part of its limit that is used. */
static constexpr duration loadWindow{5'000};
static constexpr double usedLoadShare = 0.9;

/** Loads at once that are left to servers without any model while callers are served. */
static constexpr std::size_t keptForEmpty = 2;

std::size_t group_controller::loading() const
{
    const auto count = std::count_if(m_standby.begin(), m_standby.end(), [](const auto &each) { return each.second.loads; });
    return static_cast<std::size_t>(count) + m_staging.size();
}

/** Whether the weight store bears one more load and still has room for @p keepFree others. */
bool group_controller::mayLoad(const service_settings &service, std::size_t keepFree) const
{
    if (loading() + keepFree >= service.engine->loadsAtOnce) {
        return false;
    }
    const auto recent = std::count_if(m_loads.begin(), m_loads.end(), [this](const time_point &each) { return m_now < each + loadWindow; });
    const double allowed = service.engine->loadsPerSecond * std::chrono::duration<double>(loadWindow).count() * usedLoadShare;
    return !m_view->traffic || static_cast<double>(recent) < allowed;
}

void group_controller::countLoad()
{
    m_loads.push_back(m_now);
    while (m_now >= m_loads.front() + loadWindow) {
        m_loads.pop_front();
    }
}

/** Makes spares join a group of their own that never opens, so that they hold a model and join others at once. */
void group_controller::prepare(const service_settings &service, domain_pool &pool, const domain_allocation &target)
{
    const std::vector<model_profile> &models = service.engine->models;
    const auto lacking
        = [&](const model_profile &model) { return static_cast<std::ptrdiff_t>(target.at(model.model)) - static_cast<std::ptrdiff_t>(pool.held(model.model)); };
    for (const spare_backend &each : pool.spares()) {
        if (!each.loaded.value().empty()) {
            continue;
        }
        const auto staged = std::find_if(models.begin(), models.end(), [&](const model_profile &model) { return each.canServe(model.model); });
        if (staged != models.end()) {
            startStandby(*staged, each.backend, false);
            continue;
        }
        const auto best = std::max_element(
            models.begin(), models.end(), [&](const model_profile &one, const model_profile &other) { return lacking(one) < lacking(other); });
        const bool wanted = best != models.end() && (lacking(*best) > 0 || !stillArriving());
        if (wanted && mayLoad(service, 0)) {
            pool.addPreparing(best->model);
            startStandby(*best, each.backend, true);
        }
    }
}

void group_controller::startStandby(const model_profile &model, const backend_id &backend, bool loads)
{
    standby &each = m_standby[backend];
    each = {nextEpoch(), model.model, entryOf(backend)->record.startedAt, {}, {}, {}, loads};
    each.readyAt = m_now + std::chrono::ceil<duration>(loads ? model.loadTime : model.warmLoadTime);
    const engine_duration expected = loads ? model.loadTime * loadPatience + model.warmLoadTime : model.warmLoadTime;
    each.due = m_now + std::chrono::ceil<duration>(expected) + orderSlack;
    if (loads) {
        countLoad();
    }
    send(each.join, each.epoch, backend, join_group{each.epoch, model.model, {backend}}, orderResendDelay);
}

void group_controller::lookAtStandby()
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

/** The worst-served model among those that the server cannot serve soon, or nullptr. */
static const model_profile *modelToStage(const service_settings &service, const fleet_utility &value, const fleet_counts &fleet, const spare_backend &spare)
{
    // A host that keeps one model would lose the one that was staged before, unless the engine holds it.
    const bool keepsAll = spare.staged.size() < service.engine->maxStagedModels || (spare.staged.size() == 1 && spare.staged.front() == spare.loaded);
    const model_profile *best = nullptr;
    for (const model_profile &each : service.engine->models) {
        if (keepsAll && !spare.canServe(each.model) && (best == nullptr || value.onTime(each.model, fleet.groups) < value.onTime(best->model, fleet.groups))) {
            best = &each;
        }
    }
    return best;
}

/**
 * Loads one more model onto hosts whose engine holds another, so that their servers can go where they are
 * needed: spares first, then members of groups in domains where a larger model has no spare.
 */
void group_controller::stageMore(const service_settings &service, const fleet_utility &value, const fleet_counts &fleet, const domain_pools &pools)
{
    const std::size_t keepFree = m_view->traffic ? keptForEmpty : 0;
    const auto stage = [&](const spare_backend &spare) {
        const model_profile *model = modelToStage(service, value, fleet, spare);
        if (model != nullptr && !spare.loaded.value().empty() && !m_staging.contains(spare.backend) && mayLoad(service, keepFree)) {
            startStaging(*model, spare.backend);
        }
    };
    for (const auto &[domain, pool] : pools) {
        for (const spare_backend &each : pool.spares()) {
            stage(each);
        }
    }
    for (const auto &[epoch, each] : m_groups) {
        if (each.group.service != service.service || each.group.phase != group_phase::Open || (m_view->traffic && !lendsMembers(service, each, pools))) {
            continue;
        }
        for (const backend_id &member : each.group.members) {
            if (const backend_registry::entry *entry = entryOf(member)) {
                stage({member, entry->record.loaded, entry->record.staged});
            }
        }
    }
}

/** Whether members of the group should be able to go over to a larger model that has no spare in their domain. */
bool group_controller::lendsMembers(const service_settings &service, const managed_group &group, const domain_pools &pools) const
{
    const backend_registry::entry *head = entryOf(group.group.head());
    const auto pool = head == nullptr ? pools.end() : pools.find(head->record.fabricDomain);
    if (pool == pools.end()) {
        return false;
    }
    return std::any_of(service.engine->models.begin(), service.engine->models.end(), [&](const model_profile &larger) {
        return larger.hostsPerGroup > group.group.members.size() && pool->second.members(larger.model) > 0 && pool->second.ready(larger.model) == 0
               && !lenderExists(larger, group, head->record.fabricDomain);
    });
}

/** Whether another group of the domain has a member that can already go over to the model. */
bool group_controller::lenderExists(const model_profile &model, const managed_group &group, const fabric_domain_id &domain) const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [&](const auto &each) {
        if (each.second.group.model == model.model || each.first == group.group.epoch) {
            return false;
        }
        return std::any_of(each.second.group.members.begin(), each.second.group.members.end(), [&](const backend_id &member) {
            const backend_registry::entry *entry = entryOf(member);
            return entry != nullptr && entry->record.fabricDomain == domain
                   && (spare_backend{member, entry->record.loaded, entry->record.staged}.canServe(model.model) || m_staging.contains(member));
        });
    });
}

void group_controller::startStaging(const model_profile &model, const backend_id &backend)
{
    staging &each = m_staging[backend];
    each = {model.model, entryOf(backend)->record.startedAt, {}, m_now + std::chrono::ceil<duration>(model.loadTime * loadPatience) + orderSlack};
    countLoad();
    send(each.order, {}, backend, stage_model{model.model}, orderResendDelay);
}

void group_controller::lookAtStaging()
{
    for (auto each = m_staging.begin(); each != m_staging.end();) {
        const auto &[backend, under] = *each;
        const backend_registry::entry *entry = entryOf(backend);
        const bool gone = entry == nullptr || entry->record.state != backend_state::Ready || entry->record.startedAt != under.startedAt;
        const bool done = !gone && std::find(entry->record.staged.begin(), entry->record.staged.end(), under.model) != entry->record.staged.end();
        if (gone || done || m_now >= under.due) {
            each = m_staging.erase(each);
            continue;
        }
        send(each->second.order, {}, backend, stage_model{under.model}, orderResendDelay);
        ++each;
    }
}

} // namespace carawayloft
