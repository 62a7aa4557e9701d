#include <carawayloft/service/service_configuration.h>

#include <algorithm>
#include <set>

namespace carawayloft {

/** Most models of one engine: the time of a plan grows faster than their square. */
static constexpr std::size_t maxPlannedModels = 64;

static status invalid(std::string what, std::string remedy)
{
    return error{error_kind::InvalidRequest, std::move(what), std::move(remedy)};
}

static status checkPriority(const std::string &field, const std::string &owner, std::uint32_t priority)
{
    if (priority > maxPriority) {
        return invalid(field + " of '" + owner + "' is " + std::to_string(priority), "set it to an integer from 0 to " + std::to_string(maxPriority));
    }
    return {};
}

static status checkTargets(const service_route &route, const std::vector<service_settings> &services)
{
    std::uint64_t totalWeight = 0;
    for (const route_target &target : route.targets) {
        const bool isDeclared = std::any_of(services.begin(), services.end(), [&](const service_settings &each) { return each.service == target.service; });
        if (!isDeclared) {
            return invalid("route '" + route.name + "' refers to service '" + target.service.value() + "', which is not declared", "declare the service");
        }
        totalWeight += target.weight;
    }
    if (totalWeight == 0) {
        return invalid("the weights of route '" + route.name + "' sum to 0", "give at least one service a positive weight");
    }
    return {};
}

static status checkRoute(const service_route &route, const std::vector<service_settings> &services)
{
    if (route.timeLimit.count() <= 0) {
        return invalid("the time limit of route '" + route.name + "' is not positive", "set a time limit in milliseconds");
    }
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        return invalid("the path prefix of route '" + route.name + "' is '" + route.pathPrefix + "'", "begin and end it with a slash");
    }
    if (status checked = checkPriority("routes.priority", route.name, route.priority); failed(checked)) {
        return checked;
    }
    return checkTargets(route, services);
}

static status checkAccounts(const std::vector<account_settings> &accounts)
{
    std::set<access_key> keys;
    for (const account_settings &account : accounts) {
        if (status checked = checkPriority("tenants.priority", account.account.value(), account.priority.value_or(0)); failed(checked)) {
            return checked;
        }
        for (const access_key &key : account.keys) {
            if (!keys.insert(key).second) {
                return invalid("client account '" + account.account.value() + "' has an access key of another account", "give each account its own keys");
            }
        }
    }
    return {};
}

static status checkService(const service_settings &service)
{
    if (service.engine && service.engine->models.empty()) {
        return invalid("the engine of service '" + service.service.value() + "' has no models", "list at least one model");
    }
    return {};
}

/** Of the elements with one id, only the first is of use: all others are found by it. */
template<class Element, class Id>
static void keepFirst(std::vector<Element> &elements, Id Element::*id)
{
    std::set<Id> seen;
    std::erase_if(elements, [&](const Element &each) { return !seen.insert(each.*id).second; });
}

/** Only the first maxPlannedModels models of an engine get groups. */
static void limitModels(service_settings &service, std::vector<replaced_figure> &replaced)
{
    std::vector<model_profile> &models = service.engine->models;
    if (models.size() > maxPlannedModels) {
        replaced.push_back({service.service, "models", static_cast<double>(models.size()), static_cast<double>(maxPlannedModels)});
        models.resize(maxPlannedModels);
    }
}

result<service_configuration> service_configuration::create(configuration_fields fields)
{
    keepFirst(fields.services, &service_settings::service);
    for (service_settings &each : fields.services) {
        if (each.engine) {
            keepFirst(each.engine->models, &model_profile::model);
            limitModels(each, fields.replacedFigures);
        }
    }
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const service_route &route : fields.routes) {
        if (status checked = checkRoute(route, fields.services); failed(checked)) {
            return errorOf(checked);
        }
        if (!hostsAndPrefixes.emplace(route.host, route.pathPrefix).second) {
            return error{error_kind::InvalidRequest, "two routes have the host and path prefix " + route.host + route.pathPrefix, "remove one of them"};
        }
    }
    for (const service_settings &each : fields.services) {
        if (status checked = checkService(each); failed(checked)) {
            return errorOf(checked);
        }
    }
    if (status checked = checkAccounts(fields.accounts); failed(checked)) {
        return errorOf(checked);
    }
    return service_configuration(std::move(fields));
}

service_configuration::service_configuration(configuration_fields fields)
    : m_fields(std::move(fields))
{
}

const service_settings *service_configuration::service(const service_id &service) const
{
    const auto found = std::find_if(m_fields.services.begin(), m_fields.services.end(), [&](const service_settings &each) { return each.service == service; });
    return found == m_fields.services.end() ? nullptr : &*found;
}

} // namespace carawayloft
