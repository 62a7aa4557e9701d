#include <carawayloft/fleet/group_controller.h>

#include <algorithm>
#include <functional>

namespace carawayloft {

/** Slack added to the expected time of a join or load for resent orders. */
static constexpr duration orderSlack{4'000};

/** A load is abandoned after this multiple of its nominal time: concurrent loads slow each other down. */
static constexpr double loadTimeoutFactor = 3.0;

/** Window over which the weight store limits the rate of load starts, and the fraction of that limit to use. */
static constexpr duration loadRateWindow{5'000};
static constexpr double usableLoadRateShare = 0.9;

/** Concurrent loads reserved for servers without any model while there is traffic. */
static constexpr std::size_t loadsReservedForEmpty = 2;

std::size_t group_controller::activeLoads() const
{
    const auto count = std::count_if(m_standby.begin(), m_standby.end(), [](const auto &each) { return each.second.loadsFromStore; });
    return static_cast<std::size_t>(count) + m_staging.size();
}

/** Whether the limits of the weight store allow one more load and leave @p keepFree concurrent loads free. */
bool group_controller::mayLoad(const service_settings &service, std::size_t keepFree) const
{
    if (activeLoads() + keepFree >= service.engine->loadsAtOnce) {
        return false;
    }
    const auto recent = std::count_if(m_recentLoads.begin(), m_recentLoads.end(), [this](const time_point &each) { return m_now < each + loadRateWindow; });
    const double allowed = service.engine->loadsPerSecond * std::chrono::duration<double>(loadRateWindow).count() * usableLoadRateShare;
    return !m_context->trafficStarted || static_cast<double>(recent) < allowed;
}

void group_controller::recordLoadStart()
{
    m_recentLoads.push_back(m_now);
    while (m_now >= m_recentLoads.front() + loadRateWindow) {
        m_recentLoads.pop_front();
    }
}

/**
 * Makes spares without a loaded model standbys: each joins a group of its own that never opens, so that it holds the
 * model and can join another group at once.
 */
void group_controller::assignStandbys(const service_settings &service, domain_pool &pool, const std::vector<std::size_t> &target)
{
    const std::vector<model_profile> &models = service.engine->models;
    const auto lacking = [&](const model_profile &model) {
        const auto index = static_cast<std::size_t>(&model - models.data());
        return static_cast<std::ptrdiff_t>(target[index]) - static_cast<std::ptrdiff_t>(pool.holderCount(model.model));
    };
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
        const bool wanted = best != models.end() && (lacking(*best) > 0 || !serversStillRegistering());
        if (wanted && mayLoad(service, 0)) {
            pool.addStandby(best->model);
            startStandby(*best, each.backend, true);
        }
    }
}

void group_controller::startStandby(const model_profile &model, const backend_id &backend, bool loadsFromStore)
{
    standby &each = m_standby[backend];
    each = {nextEpoch(epoch_use::Standby), model.model, findEntry(backend)->record.startedAt, {}, {}, {}, loadsFromStore};
    each.expectedReadyAt = m_now + ceilDuration(loadsFromStore ? model.loadTime.value() : model.warmLoadTime.value());
    const engine_duration expected = model.warmLoadTime.value() + (loadsFromStore ? model.loadTime.value() * loadTimeoutFactor : engine_duration(0));
    each.deadline = m_now + ceilDuration(expected) + orderSlack;
    if (loadsFromStore) {
        recordLoadStart();
    }
    send(each.joinOrder, each.epoch, backend, join_group{each.epoch, model.model, {backend}}, orderResendDelay);
}

void group_controller::reconcileStandbys()
{
    for (auto each = m_standby.begin(); each != m_standby.end();) {
        const backend_id &backend = each->first;
        standby &waiting = each->second;
        const backend_registry::entry *entry = findEntry(backend);
        const bool gone = entry == nullptr || entry->record.state != backend_state::Ready || entry->record.startedAt != waiting.startedAt;
        const bool ready = !gone && entry->record.membership.epoch == waiting.epoch && entry->record.membership.state == membership_state::Ready;
        if (gone || ready || m_now >= waiting.deadline) {
            m_closure.recordEnd(waiting.epoch); // Such a group is never told to open.
            each = m_standby.erase(each);
            continue;
        }
        if (entry->record.membership.epoch != waiting.epoch) {
            waiting.joinOrder.answered = waiting.joinOrder.answered && m_now < waiting.joinOrder.sentAt + 2 * orderResendDelay;
            send(waiting.joinOrder, waiting.epoch, backend, join_group{waiting.epoch, waiting.model, {backend}}, orderResendDelay);
        }
        ++each;
    }
}

/** The worst-served model among those that the spare would need to load, or nullptr. */
static const model_profile *modelToStage(const service_settings &service, const fleet_utility &utility, const group_counts &groups, const spare_backend &spare)
{
    // A host that keeps one model would evict the one staged before, unless the engine has it loaded.
    const bool keepsAll = spare.staged.size() < service.engine->maxStagedModels || (spare.staged.size() == 1 && spare.staged.front() == spare.loaded);
    const std::vector<model_profile> &models = service.engine->models;
    const model_profile *best = nullptr;
    double bestShare = 0.0;
    for (std::size_t i = 0; i < models.size(); ++i) {
        const double share = utility.onTimeFraction(models[i].model, groups[i]);
        if (keepsAll && !spare.canServe(models[i].model) && (best == nullptr || share < bestShare)) {
            best = &models[i];
            bestShare = share;
        }
    }
    return best;
}

/**
 * Stages an additional model on hosts whose engine holds another one, so that their servers can be reassigned: spares
 * first, then members of groups, which can be closed to replace members of a larger group. Before there is traffic,
 * loads are fast and not limited in rate, and all members stage one.
 */
void group_controller::stageAdditionalModels(const service_settings &service,
                                             const fleet_utility &utility,
                                             const fleet_composition &fleet,
                                             const domain_pools &pools)
{
    const std::size_t keepFree = m_context->trafficStarted ? loadsReservedForEmpty : 0;
    group_counts groups(service.engine->models.size());
    for (const auto &[domain, each] : fleet) {
        std::transform(groups.begin(), groups.end(), each.groups.begin(), groups.begin(), std::plus<>());
    }
    const auto stage = [&](const spare_backend &spare) {
        const model_profile *model = modelToStage(service, utility, groups, spare);
        if (model != nullptr && !spare.loaded.value().empty() && !m_staging.contains(spare.backend) && mayLoad(service, keepFree)) {
            startStaging(*model, spare.backend);
        }
    };
    for (const auto &[domain, pool] : pools) {
        for (const spare_backend &each : pool.spares()) {
            stage(each);
        }
    }
    for (const managed_group *group : m_context->trafficStarted ? groupsToStageOn(service, pools) : openGroups(service)) {
        for (const spare_backend &each : membersAsSpares(*group)) {
            stage(each);
        }
    }
}

/** Servers of the domain outside groups of the model that could replace a member of one, or will once they have staged it. */
std::size_t group_controller::replacementCount(const fabric_domain_id &domain, const domain_pool &pool, const model_profile &model) const
{
    std::size_t count = pool.readyCount(model.model);
    for (const auto &[epoch, each] : m_groups) {
        if (each.group.model == model.model || domainOf(each) != domain) {
            continue;
        }
        for (const spare_backend &member : membersAsSpares(each)) {
            const auto staging = m_staging.find(member.backend);
            const bool willServe = staging != m_staging.end() && staging->second.model == model.model;
            count += member.canServe(model.model) || willServe ? 1 : 0;
        }
    }
    return count;
}

/** All open groups of the service. */
std::vector<const group_controller::managed_group *> group_controller::openGroups(const service_settings &service) const
{
    std::vector<const managed_group *> groups;
    for (const auto &[epoch, each] : m_groups) {
        if (each.group.service == service.service && each.group.phase == group_phase::Open) {
            groups.push_back(&each);
        }
    }
    return groups;
}

/**
 * In each domain that lacks replacements for members of a larger model, the group that should stage it: the one that has
 * the most members with it and not yet all. Domains with the fewest replacements come first.
 */
std::vector<const group_controller::managed_group *> group_controller::groupsToStageOn(const service_settings &service, const domain_pools &pools) const
{
    struct candidate {
        std::size_t replacements = 0;
        std::ptrdiff_t able = 0;
        const managed_group *group = nullptr;
    };
    std::map<fabric_domain_id, candidate> chosen;
    for (const managed_group *each : openGroups(service)) {
        const auto pool = pools.find(domainOf(*each));
        if (pool == pools.end()) {
            continue;
        }
        const std::vector<spare_backend> members = membersAsSpares(*each);
        for (const model_profile &larger : service.engine->models) {
            const std::size_t replacements = replacementCount(pool->first, pool->second, larger);
            const auto able = std::count_if(members.begin(), members.end(), [&](const spare_backend &member) { return member.canServe(larger.model); });
            const bool isComplete = able == static_cast<std::ptrdiff_t>(members.size());
            if (larger.hostsPerGroup <= members.size() || replacements >= larger.hostsPerGroup || isComplete) {
                continue;
            }
            candidate &best = chosen[pool->first];
            if (best.group == nullptr || able > best.able) {
                best = {replacements, able, each};
            }
        }
    }
    std::vector<candidate> sorted;
    sorted.reserve(chosen.size());
    for (const auto &[domain, each] : chosen) {
        sorted.push_back(each);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const candidate &one, const candidate &other) { return one.replacements < other.replacements; });
    std::vector<const managed_group *> groups;
    groups.reserve(sorted.size());
    for (const candidate &each : sorted) {
        groups.push_back(each.group);
    }
    return groups;
}

void group_controller::startStaging(const model_profile &model, const backend_id &backend)
{
    staging &each = m_staging[backend];
    each = {model.model, findEntry(backend)->record.startedAt, {}, m_now + ceilDuration(model.loadTime.value() * loadTimeoutFactor) + orderSlack};
    recordLoadStart();
    send(each.order, {}, backend, stage_model{model.model}, orderResendDelay);
}

void group_controller::reconcileStaging()
{
    for (auto each = m_staging.begin(); each != m_staging.end();) {
        const auto &[backend, pending] = *each;
        const backend_registry::entry *entry = findEntry(backend);
        const bool gone = entry == nullptr || entry->record.state != backend_state::Ready || entry->record.startedAt != pending.startedAt;
        const bool done = !gone && std::find(entry->record.staged.begin(), entry->record.staged.end(), pending.model) != entry->record.staged.end();
        if (gone || done || m_now >= pending.deadline) {
            each = m_staging.erase(each);
            continue;
        }
        send(each->second.order, {}, backend, stage_model{pending.model}, orderResendDelay);
        ++each;
    }
}

} // namespace carawayloft
