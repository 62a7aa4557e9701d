#pragma once

#include <carawayloft/service/service_configuration.h>

#include <map>
#include <vector>

namespace carawayloft {

/** A backend server outside any group, and the models that it can serve without a load from the weight store. */
struct spare_backend {
    backend_id backend;
    model_id loaded; /**< Model of its last group, which the engine still holds, so it joins a group of that model at once. Empty for none. */
    std::vector<model_id> staged; /**< Models whose weights are on its host. */

    /** Whether it can join a group of the model without a load from the weight store. */
    bool canServe(const model_id &model) const;
};

/** The backend servers of one fabric domain by the models that they hold. */
class domain_pool
{
public:
    void addSpare(spare_backend spare);

    /** Adds a standby, which loads the model and is in no group yet. */
    void addStandby(const model_id &model);

    /** Adds members of groups of the model. */
    void addMembers(const model_id &model, std::size_t count);

    const std::vector<spare_backend> &spares() const
    {
        return m_spares;
    }

    /** Spares that can serve the model without a load from the weight store. */
    std::size_t readyCount(const model_id &model) const;

    /** Spares that can serve any model without a load from the weight store. */
    std::size_t readyCount() const;

    /** Members of groups of the model. */
    std::size_t memberCount(const model_id &model) const;

    /** Members and standbys of the model, and spares whose primary model it is: the loaded one, else the one staged last. */
    std::size_t holderCount(const model_id &model) const;

    /** Spares, standbys and members. */
    std::size_t size() const;

    /**
     * Removes enough spares for one group of the model: those that join soonest and, among them, those that can
     * serve the fewest other models. Returns nothing when there are too few.
     */
    std::vector<spare_backend> takeMembers(const model_profile &model);

private:
    std::vector<spare_backend> m_spares;
    std::map<model_id, std::size_t> m_standbys;
    std::map<model_id, std::size_t> m_members;
};

} // namespace carawayloft
