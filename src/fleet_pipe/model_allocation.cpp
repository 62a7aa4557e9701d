#include <carawayloft/fleet/model_allocation.h>

#include <algorithm>
#include <limits>

namespace carawayloft {

/** Minimum gain in utility, in units of one group's work, for forming a group: smaller gains are noise in the traffic. */
static constexpr double minGroupGain = 0.02;

/** Number of groups of each model, in the order of the list of models. */
using model_group_counts = std::vector<std::size_t>;

/** The fleet after a domain with @p readyCount usable spares has formed a group of the model. */
static fleet_counts withGroup(const fleet_counts &fleet, const model_profile &model, std::size_t readyCount)
{
    fleet_counts after = fleet;
    ++after.groups[model.model];
    if (readyCount == model.hostsPerGroup && after.domainsWithSpares > 0) {
        --after.domainsWithSpares;
    }
    return after;
}

std::vector<planned_group> formDomainGroups(const fleet_utility &utility, fleet_counts &fleet, domain_pool &pool)
{
    std::vector<planned_group> formed;
    for (;;) {
        const model_profile *best = nullptr;
        double bestGain = minGroupGain;
        const double now = utility.of(fleet);
        for (const model_profile &each : utility.models()) {
            if (pool.readyCount(each.model) < each.hostsPerGroup) {
                continue;
            }
            const double gain = utility.of(withGroup(fleet, each, pool.readyCount())) - now;
            if (gain > bestGain) {
                best = &each;
                bestGain = gain;
            }
        }
        if (best == nullptr) {
            return formed;
        }
        fleet = withGroup(fleet, *best, pool.readyCount());
        formed.push_back({best->model, pool.takeMembers(*best)});
        pool.addMembers(best->model, best->hostsPerGroup);
    }
}

/** Appends every combination of group counts that fits on @p servers. */
static void enumerateGroupCounts(
    const std::vector<model_profile> &models, std::size_t at, std::size_t servers, model_group_counts &chosen, std::vector<model_group_counts> &out)
{
    if (at == models.size()) {
        out.push_back(chosen);
        return;
    }
    for (std::size_t groups = 0; groups * models[at].hostsPerGroup <= servers; ++groups) {
        chosen.push_back(groups);
        enumerateGroupCounts(models, at + 1, servers - groups * models[at].hostsPerGroup, chosen, out);
        chosen.pop_back();
    }
}

static std::size_t serversIn(const std::vector<model_profile> &models, const model_group_counts &candidate)
{
    std::size_t sum = 0;
    for (std::size_t i = 0; i < models.size(); ++i) {
        sum += candidate[i] * models[i].hostsPerGroup;
    }
    return sum;
}

/** Distributes spares over the models in proportion to the members that can fail. */
static void addSpares(const std::vector<model_profile> &models, std::size_t spares, domain_allocation &target)
{
    const domain_allocation members = target;
    for (; spares > 0; --spares) {
        const auto spareBenefit = [&](const model_profile &model) {
            const auto count = static_cast<double>(members.at(model.model));
            return count / (static_cast<double>(target.at(model.model)) - count + 1.0);
        };
        const auto best = std::max_element(
            models.begin(), models.end(), [&](const model_profile &one, const model_profile &other) { return spareBenefit(one) < spareBenefit(other); });
        ++target[best->model];
    }
}

std::map<fabric_domain_id, domain_allocation> allocateModels(const fleet_utility &utility, const std::map<fabric_domain_id, std::size_t> &domains)
{
    const std::vector<model_profile> &models = utility.models();
    std::map<fabric_domain_id, domain_allocation> targets;
    fleet_counts fleet;
    for (const auto &[domain, servers] : domains) {
        std::vector<model_group_counts> candidates;
        model_group_counts chosen;
        enumerateGroupCounts(models, 0, servers, chosen, candidates);
        const auto fleetWith = [&, total = servers](const model_group_counts &candidate) {
            fleet_counts after = fleet;
            for (std::size_t i = 0; i < models.size(); ++i) {
                after.groups[models[i].model] += candidate[i];
            }
            after.domainsWithSpares += serversIn(models, candidate) < total ? 1 : 0;
            return after;
        };
        double bestUtility = std::numeric_limits<double>::lowest();
        model_group_counts best;
        for (const model_group_counts &candidate : candidates) {
            if (const double candidateUtility = utility.of(fleetWith(candidate)); candidateUtility > bestUtility) {
                bestUtility = candidateUtility;
                best = candidate;
            }
        }
        fleet = fleetWith(best);
        domain_allocation &target = targets[domain];
        for (std::size_t i = 0; i < models.size(); ++i) {
            target[models[i].model] = best[i] * models[i].hostsPerGroup;
        }
        addSpares(models, servers - serversIn(models, best), target);
    }
    return targets;
}

} // namespace carawayloft
