#pragma once

#include <carawayloft/service/service_configuration.h>

#include <map>
#include <vector>

namespace carawayloft {

/** A backend server in no group, and the models that it can serve soon. */
struct spare_backend {
    backend_id backend;
    model_id loaded; /**< Of its last group; it joins another one of that model at once. Empty for none. */
    std::vector<model_id> staged; /**< Their weights are on its host. */

    /** Whether it joins a group of the model without a load from the weight store. */
    bool canServe(const model_id &model) const;
};

/** The backend servers of one fabric domain by what they hold. */
class domain_pool
{
public:
    void addSpare(spare_backend spare);

    /** One that gets the model ready, and is in no group yet. */
    void addPreparing(const model_id &model);

    /** Members of groups of the model. */
    void addMembers(const model_id &model, std::size_t count);

    const std::vector<spare_backend> &spares() const
    {
        return m_spares;
    }

    /** Spares that can serve the model soon. */
    std::size_t ready(const model_id &model) const;

    /** Spares that can serve any model soon. */
    std::size_t ready() const;

    /** Members of groups of the model. */
    std::size_t members(const model_id &model) const;

    /** Backend servers that hold the model first of all, or will soon. */
    std::size_t held(const model_id &model) const;

    /** All that are there. */
    std::size_t size() const;

    /**
     * Takes the members of a group of the model out of the spares: those that join soonest, and among
     * them those that can serve the fewest other models. Nothing when there are too few.
     */
    std::vector<spare_backend> takeMembers(const model_profile &model);

private:
    std::vector<spare_backend> m_spares;
    std::map<model_id, std::size_t> m_preparing;
    std::map<model_id, std::size_t> m_members;
};

} // namespace carawayloft
