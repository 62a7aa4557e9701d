#pragma once

#include <carawayloft/service/service_configuration.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace carawayloft {

/** Looks up the routes and client accounts of one configuration. */
class route_table
{
public:
    route_table() = default;
    explicit route_table(std::shared_ptr<const service_configuration> configuration);

    /** The route of @p host with the longest prefix that matches @p path, or nullptr. */
    const service_route *find(const std::string &host, const std::string &path) const;

    /** The account that @p key belongs to, or nullptr. */
    const account_settings *account(const access_key &key) const;

    /** Null until the first configuration is in force. */
    const std::shared_ptr<const service_configuration> &configuration() const
    {
        return m_configuration;
    }

private:
    std::shared_ptr<const service_configuration> m_configuration;
    std::unordered_map<std::string, std::map<std::string, const service_route *>> m_routes; /**< By host, then by path prefix. */
    std::unordered_map<access_key, const account_settings *> m_accounts;
};

} // namespace carawayloft
