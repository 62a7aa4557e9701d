#include <carawayloft/fleet/model_allocation.h>

#include <algorithm>
#include <iterator>
#include <optional>

namespace carawayloft {

/** Minimum gain in utility, in units of one group's work, for forming a group: smaller gains are noise in the traffic. */
static constexpr double minGroupGain = 0.02;

/** Most passes over the domains in which each is planned anew beside the others; later ones hardly change anything. */
static constexpr int planningPasses = 4;

/** Most combinations of group counts that are compared; where there are more, groups are chosen one after the other. */
static constexpr std::size_t maxCombinations = 4'096;

/** Most pairs of combinations that are compared for two domains. */
static constexpr std::size_t maxCombinationPairs = 65'536;

/** Appends combinations of group counts that fit on @p servers; stops once there are more than maxCombinations. */
static void enumerateGroupCounts(const std::vector<model_profile> &models, std::size_t servers, group_counts &chosen, std::vector<group_counts> &out)
{
    if (chosen.size() == models.size()) {
        out.push_back(chosen);
        return;
    }
    const std::size_t size = models[chosen.size()].hostsPerGroup;
    for (std::size_t groups = 0; groups * size <= servers && out.size() <= maxCombinations; ++groups) {
        chosen.push_back(groups);
        enumerateGroupCounts(models, servers - groups * size, chosen, out);
        chosen.pop_back();
    }
}

/** All combinations of group counts that fit on @p servers; nothing if there are more than maxCombinations. */
static std::optional<std::vector<group_counts>> groupCountsFor(const std::vector<model_profile> &models, std::size_t servers)
{
    std::vector<group_counts> out;
    group_counts chosen;
    enumerateGroupCounts(models, servers, chosen, out);
    return out.size() > maxCombinations ? std::nullopt : std::optional(std::move(out));
}

/** The combinations of one group of one model. */
static std::vector<group_counts> singleGroups(std::size_t models)
{
    std::vector<group_counts> out(models, group_counts(models));
    for (std::size_t i = 0; i < models; ++i) {
        out[i][i] = 1;
    }
    return out;
}

static std::size_t serversIn(const std::vector<model_profile> &models, const group_counts &groups)
{
    std::size_t sum = 0;
    for (std::size_t i = 0; i < models.size(); ++i) {
        sum += groups[i] * models[i].hostsPerGroup;
    }
    return sum;
}

/**
 * The group counts to compare for a domain: all combinations of the other models, each with as many groups of the model
 * with the smallest ones as fit on all servers or on all but a spare. Nothing if there are too many to compare.
 */
static std::vector<group_counts> fullGroupCountsFor(const std::vector<model_profile> &models, std::size_t servers)
{
    const auto smallest
        = std::min_element(models.begin(), models.end(), [](const auto &one, const auto &other) { return one.hostsPerGroup < other.hostsPerGroup; });
    const auto filler = static_cast<std::size_t>(smallest - models.begin());
    std::vector<model_profile> others = models;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(filler));
    std::vector<group_counts> full;
    for (group_counts &groups : groupCountsFor(others, servers).value_or(std::vector<group_counts>())) {
        const std::size_t left = servers - serversIn(others, groups);
        groups.insert(groups.begin() + static_cast<std::ptrdiff_t>(filler), left / smallest->hostsPerGroup);
        full.push_back(groups);
        if (left > 0 && left % smallest->hostsPerGroup == 0) {
            --groups[filler];
            full.push_back(groups);
        }
    }
    return full;
}

/** Takes the members of these groups out of the pool; nothing if too few spares can serve the models. */
static std::optional<std::vector<planned_group>> takeGroups(const std::vector<model_profile> &models, const group_counts &groups, domain_pool &pool)
{
    std::vector<planned_group> taken;
    for (std::size_t i = 0; i < models.size(); ++i) {
        for (std::size_t count = 0; count < groups[i]; ++count) {
            std::vector<spare_backend> members = pool.takeMembers(models[i]);
            if (members.empty()) {
                return std::nullopt;
            }
            pool.addMembers(models[i].model, models[i].hostsPerGroup);
            taken.push_back({models[i].model, std::move(members)});
        }
    }
    return taken;
}

/** Whether the domain would have more groups of one model than planned. */
static bool exceedsPlan(const group_counts &groups, const group_counts &planned)
{
    return !std::equal(groups.begin(), groups.end(), planned.begin(), [](std::size_t count, std::size_t most) { return count <= most; });
}

/**
 * Whether the groups take spares that a planned group of another model waits for. Spares wait only if they are half of
 * such a group or more: the rest of a smaller part would take longer than a load of the model.
 */
static bool takesReservedSpares(
    const std::vector<model_profile> &models, const group_counts &groups, const group_counts &planned, const domain_pool &before, const domain_pool &after)
{
    for (std::size_t i = 0; i < models.size(); ++i) {
        const std::size_t ready = before.readyCount(models[i].model);
        const bool isReserved = groups[i] < planned[i] && 2 * ready >= models[i].hostsPerGroup;
        if (isReserved && after.readyCount(models[i].model) < std::min<std::size_t>(ready, models[i].hostsPerGroup)) {
            return true;
        }
    }
    return false;
}

static group_counts sumOf(const group_counts &one, const group_counts &other)
{
    group_counts sum = one;
    for (std::size_t i = 0; i < sum.size(); ++i) {
        sum[i] += other[i];
    }
    return sum;
}

/** Forms those of the combinations of groups that gives the fleet the highest utility. */
static std::vector<planned_group> formBestOf(const std::vector<group_counts> &combinations,
                                             const fleet_utility &utility,
                                             fleet_composition &fleet,
                                             const fabric_domain_id &domain,
                                             domain_pool &pool,
                                             const group_counts &planned)
{
    const std::vector<model_profile> &models = utility.models();
    const group_counts present = fleet.at(domain).groups;
    double bestUtility = utility.of(fleet) + minGroupGain;
    std::vector<planned_group> formed;
    fleet_composition bestFleet = fleet;
    domain_pool bestPool = pool;
    for (const group_counts &added : combinations) {
        const group_counts groups = sumOf(present, added);
        if (groups == present) {
            continue;
        }
        domain_pool remaining = pool;
        std::optional<std::vector<planned_group>> taken = takeGroups(models, added, remaining);
        if (!taken || (exceedsPlan(groups, planned) && takesReservedSpares(models, groups, planned, pool, remaining))) {
            continue;
        }
        fleet_composition after = fleet;
        after[domain] = {groups, remaining.readyCount() > 0};
        if (const double afterUtility = utility.of(after); afterUtility > bestUtility) {
            bestUtility = afterUtility;
            formed = std::move(*taken);
            bestFleet = std::move(after);
            bestPool = std::move(remaining);
        }
    }
    fleet = std::move(bestFleet);
    pool = std::move(bestPool);
    return formed;
}

std::vector<planned_group>
formDomainGroups(const fleet_utility &utility, fleet_composition &fleet, const fabric_domain_id &domain, domain_pool &pool, const group_counts &planned)
{
    if (const auto combinations = groupCountsFor(utility.models(), pool.spares().size())) {
        return formBestOf(*combinations, utility, fleet, domain, pool, planned);
    }
    const std::vector<group_counts> single = singleGroups(utility.models().size());
    std::vector<planned_group> formed;
    for (;;) {
        std::vector<planned_group> added = formBestOf(single, utility, fleet, domain, pool, planned);
        if (added.empty()) {
            return formed;
        }
        std::move(added.begin(), added.end(), std::back_inserter(formed));
    }
}

/** Distributes spares over the models in proportion to the members that can fail. */
static void addSpares(const std::vector<model_profile> &models, std::size_t spares, domain_plan &plan)
{
    for (; spares > 0; --spares) {
        std::size_t best = 0;
        double bestBenefit = -1.0;
        for (std::size_t i = 0; i < models.size(); ++i) {
            const auto members = static_cast<double>(plan.groups[i] * models[i].hostsPerGroup);
            const double benefit = members / (static_cast<double>(plan.servers[i]) - members + 1.0);
            if (benefit > bestBenefit) {
                best = i;
                bestBenefit = benefit;
            }
        }
        ++plan.servers[best];
    }
}

/** Chooses groups for one domain one after the other, each of the model that adds the most utility, until no other fits. */
static domain_composition planStepwise(const fleet_utility &utility, std::size_t servers, const fabric_domain_id &domain, fleet_composition fleet)
{
    const std::vector<model_profile> &models = utility.models();
    domain_composition chosen{group_counts(models.size()), servers > 0};
    for (std::size_t left = servers;;) {
        std::optional<std::size_t> best;
        double bestUtility = 0.0;
        for (std::size_t i = 0; i < models.size(); ++i) {
            if (models[i].hostsPerGroup > left) {
                continue;
            }
            fleet[domain] = {chosen.groups, models[i].hostsPerGroup < left};
            ++fleet[domain].groups[i];
            if (const double with = utility.of(fleet); !best || with > bestUtility) {
                best = i;
                bestUtility = with;
            }
        }
        if (!best) {
            return chosen;
        }
        left -= models[*best].hostsPerGroup;
        ++chosen.groups[*best];
        chosen.hasSpare = left > 0;
    }
}

/** Chooses the composition of one domain with the highest utility beside the others; false if it stays as it is. */
static bool planDomain(
    const fleet_utility &utility, const std::vector<group_counts> &candidates, std::size_t servers, const fabric_domain_id &domain, fleet_composition &fleet)
{
    const group_counts before = fleet.at(domain).groups;
    std::optional<domain_composition> best;
    double bestUtility = 0.0;
    for (const group_counts &candidate : candidates) {
        fleet[domain] = {candidate, serversIn(utility.models(), candidate) < servers};
        if (const double candidateUtility = utility.of(fleet); !best || candidateUtility > bestUtility) {
            bestUtility = candidateUtility;
            best = fleet[domain];
        }
    }
    fleet[domain] = best ? *best : planStepwise(utility, servers, domain, fleet);
    return fleet[domain].groups != before;
}

/** Chooses the compositions of two domains together: groups can then move from one to the other. */
static bool planDomains(const fleet_utility &utility,
                        const std::vector<group_counts> &firstCandidates,
                        const std::vector<group_counts> &secondCandidates,
                        const std::pair<fabric_domain_id, std::size_t> &first,
                        const std::pair<fabric_domain_id, std::size_t> &second,
                        fleet_composition &fleet)
{
    if (firstCandidates.size() * secondCandidates.size() > maxCombinationPairs) {
        return false;
    }
    fleet_composition best = fleet;
    double bestUtility = utility.of(fleet);
    bool changed = false;
    for (const group_counts &ofFirst : firstCandidates) {
        for (const group_counts &ofSecond : secondCandidates) {
            fleet[first.first] = {ofFirst, serversIn(utility.models(), ofFirst) < first.second};
            fleet[second.first] = {ofSecond, serversIn(utility.models(), ofSecond) < second.second};
            if (const double candidateUtility = utility.of(fleet); candidateUtility > bestUtility) {
                bestUtility = candidateUtility;
                best = fleet;
                changed = true;
            }
        }
    }
    fleet = std::move(best);
    return changed;
}

fleet_plan planFleet(const fleet_utility &utility, const std::map<fabric_domain_id, std::size_t> &domains)
{
    const std::vector<model_profile> &models = utility.models();
    fleet_composition fleet;
    std::map<std::size_t, std::vector<group_counts>> candidates;
    for (const auto &[domain, servers] : domains) {
        fleet[domain] = {group_counts(models.size()), false};
        if (!candidates.contains(servers)) {
            candidates[servers] = fullGroupCountsFor(models, servers);
        }
    }
    bool changed = true;
    for (int pass = 0; pass < planningPasses && changed; ++pass) {
        changed = false;
        for (const auto &[domain, servers] : domains) {
            changed = planDomain(utility, candidates.at(servers), servers, domain, fleet) || changed;
        }
        for (auto first = domains.begin(); first != domains.end() && std::next(first) != domains.end(); ++first) {
            const auto second = std::next(first);
            changed = planDomains(utility, candidates.at(first->second), candidates.at(second->second), *first, *second, fleet) || changed;
        }
    }
    fleet_plan plans;
    for (const auto &[domain, servers] : domains) {
        domain_plan &plan = plans[domain];
        plan.groups = fleet.at(domain).groups;
        for (std::size_t i = 0; i < models.size(); ++i) {
            plan.servers.push_back(plan.groups[i] * models[i].hostsPerGroup);
        }
        addSpares(models, servers - serversIn(models, plan.groups), plan);
    }
    return plans;
}

} // namespace carawayloft
