#include "ends/http_types.h"

#include <restinio/uri_helpers.hpp>

#include <algorithm>
#include <cctype>
#include <set>
#include <strings.h>

namespace carawayloft {

bool header_less::operator()(const std::string &left, const std::string &right) const
{
    return strcasecmp(left.c_str(), right.c_str()) < 0;
}

http_headers endToEndHeaders(const http_headers &headers)
{
    static const std::set<std::string, header_less> hopByHop{"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "Proxy-Connection",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade",
                                                             "Content-Length"};
    http_headers kept;
    const auto connection = headers.find("Connection");
    const std::string named = connection == headers.end() ? std::string() : connection->second;
    for (const auto &[name, value] : headers) {
        const bool isNamed = std::search(named.begin(),
                                         named.end(),
                                         name.begin(),
                                         name.end(),
                                         [](unsigned char left, unsigned char right) { return std::tolower(left) == std::tolower(right); })
                             != named.end();
        if (!hopByHop.contains(name) && !isNamed) {
            kept.emplace(name, value);
        }
    }
    return kept;
}

std::string http_request::queryPart() const
{
    return query.empty() && !hasEmptyQuery ? std::string() : "?" + query;
}

std::string http_request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string http_request::parameter(const std::string &name) const
{
    const auto parameters = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(query);
    if (!parameters || !parameters->has(name)) {
        return {};
    }
    const auto value = (*parameters)[name];
    return {value.data(), value.size()};
}

} // namespace carawayloft
