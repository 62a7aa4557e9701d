#include "ends/http_types.h"

#include <restinio/uri_helpers.hpp>

#include <algorithm>
#include <strings.h>

namespace carawayloft {

bool header_less::operator()(const std::string &left, const std::string &right) const
{
    return strcasecmp(left.c_str(), right.c_str()) < 0;
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
