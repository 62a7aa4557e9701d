#include <carawayloft/fleet/model_allocation.h>

#include <algorithm>
#include <limits>

namespace carawayloft {

/** A group is formed only for more than this, in groups' worth of work: less is noise of what callers ask. */
static constexpr double leastGain = 0.02;

/** Groups by place in the list of models. */
using composition = std::vector<std::size_t>;

/** The fleet after @p size spares of a domain with @p ready of them have become a group of the model. */
static fleet_counts withGroup(const fleet_counts &fleet, const model_profile &model, std::size_t ready)
{
    fleet_counts after = fleet;
    ++after.groups[model.model];
    if (ready == model.hostsPerGroup && after.domainsWithSpares > 0) {
        --after.domainsWithSpares;
    }
    return after;
}

std::vector<planned_group> formDomainGroups(const fleet_utility &value, fleet_counts &fleet, domain_pool &pool)
{
    std::vector<planned_group> formed;
    for (;;) {
        const model_profile *best = nullptr;
        double bestGain = leastGain;
        const double now = value.of(fleet);
        for (const model_profile &each : value.models()) {
            if (pool.ready(each.model) < each.hostsPerGroup) {
                continue;
            }
            const double gain = value.of(withGroup(fleet, each, pool.ready())) - now;
            if (gain > bestGain) {
                best = &each;
                bestGain = gain;
            }
        }
        if (best == nullptr) {
            return formed;
        }
        fleet = withGroup(fleet, *best, pool.ready());
        formed.push_back({best->model, pool.takeMembers(*best)});
        pool.addMembers(best->model, best->hostsPerGroup);
    }
}

/** Adds every way to form whole groups of @p servers. */
static void addCompositions(const std::vector<model_profile> &models, std::size_t at, std::size_t servers, composition &chosen, std::vector<composition> &out)
{
    if (at == models.size()) {
        out.push_back(chosen);
        return;
    }
    for (std::size_t groups = 0; groups * models[at].hostsPerGroup <= servers; ++groups) {
        chosen.push_back(groups);
        addCompositions(models, at + 1, servers - groups * models[at].hostsPerGroup, chosen, out);
        chosen.pop_back();
    }
}

static std::size_t serversIn(const std::vector<model_profile> &models, const composition &way)
{
    std::size_t sum = 0;
    for (std::size_t i = 0; i < models.size(); ++i) {
        sum += way[i] * models[i].hostsPerGroup;
    }
    return sum;
}

/** Adds spares of each model in proportion to the members that can fail. */
static void addSpares(const std::vector<model_profile> &models, std::size_t spares, domain_allocation &target)
{
    const domain_allocation members = target;
    for (; spares > 0; --spares) {
        const auto worth = [&](const model_profile &model) {
            const auto count = static_cast<double>(members.at(model.model));
            return count / (static_cast<double>(target.at(model.model)) - count + 1.0);
        };
        const auto best
            = std::max_element(models.begin(), models.end(), [&](const model_profile &one, const model_profile &other) { return worth(one) < worth(other); });
        ++target[best->model];
    }
}

std::map<fabric_domain_id, domain_allocation> allocateModels(const fleet_utility &value, const std::map<fabric_domain_id, std::size_t> &domains)
{
    const std::vector<model_profile> &models = value.models();
    std::map<fabric_domain_id, domain_allocation> targets;
    fleet_counts fleet;
    for (const auto &[domain, servers] : domains) {
        std::vector<composition> ways;
        composition chosen;
        addCompositions(models, 0, servers, chosen, ways);
        const auto with = [&, total = servers](const composition &way) {
            fleet_counts after = fleet;
            for (std::size_t i = 0; i < models.size(); ++i) {
                after.groups[models[i].model] += way[i];
            }
            after.domainsWithSpares += serversIn(models, way) < total ? 1 : 0;
            return after;
        };
        double bestValue = std::numeric_limits<double>::lowest();
        composition best;
        for (const composition &way : ways) {
            if (const double worth = value.of(with(way)); worth > bestValue) {
                bestValue = worth;
                best = way;
            }
        }
        fleet = with(best);
        domain_allocation &target = targets[domain];
        for (std::size_t i = 0; i < models.size(); ++i) {
            target[models[i].model] = best[i] * models[i].hostsPerGroup;
        }
        addSpares(models, servers - serversIn(models, best), target);
    }
    return targets;
}

} // namespace carawayloft
