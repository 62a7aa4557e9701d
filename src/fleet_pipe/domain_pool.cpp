#include <carawayloft/fleet/domain_pool.h>

#include <algorithm>

namespace carawayloft {

bool spare_backend::canServe(const model_id &model) const
{
    return loaded == model || std::find(staged.begin(), staged.end(), model) != staged.end();
}

/** Number of models that the spare can serve without a load from the weight store. */
static std::size_t servableModelCount(const spare_backend &spare)
{
    const bool loadedIsStaged = std::find(spare.staged.begin(), spare.staged.end(), spare.loaded) != spare.staged.end();
    return spare.staged.size() + (spare.loaded.value().empty() || loadedIsStaged ? 0 : 1);
}

static std::size_t countOf(const std::map<model_id, std::size_t> &counts, const model_id &model)
{
    const auto found = counts.find(model);
    return found == counts.end() ? 0 : found->second;
}

static std::size_t totalOf(const std::map<model_id, std::size_t> &counts)
{
    std::size_t sum = 0;
    for (const auto &[model, count] : counts) {
        sum += count;
    }
    return sum;
}

void domain_pool::addSpare(spare_backend spare)
{
    m_spares.push_back(std::move(spare));
}

void domain_pool::addStandby(const model_id &model)
{
    ++m_standbys[model];
}

void domain_pool::addMembers(const model_id &model, std::size_t count)
{
    m_members[model] += count;
}

std::size_t domain_pool::readyCount(const model_id &model) const
{
    return static_cast<std::size_t>(std::count_if(m_spares.begin(), m_spares.end(), [&](const spare_backend &each) { return each.canServe(model); }));
}

std::size_t domain_pool::readyCount() const
{
    return static_cast<std::size_t>(std::count_if(m_spares.begin(), m_spares.end(), [](const spare_backend &each) { return servableModelCount(each) > 0; }));
}

std::size_t domain_pool::memberCount(const model_id &model) const
{
    return countOf(m_members, model);
}

std::size_t domain_pool::holderCount(const model_id &model) const
{
    const auto holdsFirst
        = [&](const spare_backend &each) { return each.loaded.value().empty() ? !each.staged.empty() && each.staged.back() == model : each.loaded == model; };
    return memberCount(model) + countOf(m_standbys, model) + static_cast<std::size_t>(std::count_if(m_spares.begin(), m_spares.end(), holdsFirst));
}

std::size_t domain_pool::size() const
{
    return m_spares.size() + totalOf(m_standbys) + totalOf(m_members);
}

std::vector<spare_backend> domain_pool::takeMembers(const model_profile &model)
{
    if (readyCount(model.model) < model.hostsPerGroup) {
        return {};
    }
    const auto order = [&](const spare_backend &each) { return std::tuple(!each.canServe(model.model), each.loaded != model.model, servableModelCount(each)); };
    std::stable_sort(m_spares.begin(), m_spares.end(), [&](const spare_backend &left, const spare_backend &right) { return order(left) < order(right); });
    const auto end = m_spares.begin() + static_cast<std::ptrdiff_t>(model.hostsPerGroup);
    std::vector<spare_backend> taken(m_spares.begin(), end);
    m_spares.erase(m_spares.begin(), end);
    return taken;
}

} // namespace carawayloft
