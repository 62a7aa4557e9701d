#pragma once

#include <carawayloft/core/error.h>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace carawayloft {

/** Orders header names without regard to case. */
struct header_less {
    bool operator()(const std::string &left, const std::string &right) const;
};

using http_headers = std::map<std::string, std::string, header_less>;

/** The headers that concern more than one connection: without those that HTTP/1.1 names as hop-by-hop. */
http_headers endToEndHeaders(const http_headers &headers);

struct http_request {
    std::string method;
    std::string path;
    std::string query;
    http_headers headers;
    std::string body;
    bool hasEmptyQuery = false; /**< The target ends with its question mark. */

    /** What follows the path in the target: the question mark and the query, or an empty string without either. */
    std::string queryPart() const;

    /** Value of the header, or an empty string. */
    std::string header(const std::string &name) const;

    /** Decoded value of a parameter of the query, or an empty string. */
    std::string parameter(const std::string &name) const;
};

struct http_response {
    std::uint32_t status = 200;
    http_headers headers;
    std::string body;
};

} // namespace carawayloft
