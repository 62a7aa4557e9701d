#pragma once

#include <carawayloft/service/service_configuration.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace carawayloft {

/** Finds routes and accounts of one configuration. */
class route_table
{
public:
    route_table() = default;
    explicit route_table(std::shared_ptr<const service_configuration> configuration);

    /** The route with the longest prefix of @p path among those of @p host, or nullptr. */
    const service_route *find(const std::string &host, const std::string &path) const;

    /** The account that @p key names, or nullptr. */
    const account_settings *account(const access_key &key) const;

    /** Nothing before the first configuration. */
    const std::shared_ptr<const service_configuration> &configuration() const
    {
        return m_configuration;
    }

private:
    std::shared_ptr<const service_configuration> m_configuration;
    std::unordered_map<std::string, std::map<std::string, const service_route *>> m_routes; /**< By host, then prefix. */
    std::unordered_map<access_key, const account_settings *> m_accounts;
};

} // namespace carawayloft
