#include <carawayloft/service/route_table.h>

namespace carawayloft {

route_table::route_table(std::shared_ptr<const service_configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const service_route &route : m_configuration->routes()) {
        m_routes[route.host].emplace(route.pathPrefix, &route);
    }
    for (const account_settings &account : m_configuration->accounts()) {
        for (const access_key &key : account.keys) {
            m_accounts.emplace(key, &account);
        }
    }
}

const service_route *route_table::find(const std::string &host, const std::string &path) const
{
    const auto routes = m_routes.find(host);
    if (routes == m_routes.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the path's parts up to a slash can be one.
    for (std::size_t slash = path.rfind('/'); slash != std::string::npos; slash = path.rfind('/', slash - 1)) {
        if (const auto found = routes->second.find(path.substr(0, slash + 1)); found != routes->second.end()) {
            return found->second;
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

const account_settings *route_table::account(const access_key &key) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? nullptr : found->second;
}

} // namespace carawayloft
