#include "ends/http_response_head.h"

#include "ends/body_framing.h"
#include "ends/http_field.h"

#include <carawayloft/core/http_status.h>

#include <fmt/format.h>

#include <strings.h>
#include <unordered_map>

namespace carawayloft {

static const char *reasonPhrase(std::uint32_t status)
{
    static const std::unordered_map<std::uint32_t, const char *> reasons{{200, "OK"},
                                                                         {201, "Created"},
                                                                         {202, "Accepted"},
                                                                         {204, "No Content"},
                                                                         {307, "Temporary Redirect"},
                                                                         {400, "Bad Request"},
                                                                         {401, "Unauthorized"},
                                                                         {404, "Not Found"},
                                                                         {408, "Request Timeout"},
                                                                         {409, "Conflict"},
                                                                         {413, "Payload Too Large"},
                                                                         {414, "URI Too Long"},
                                                                         {422, "Unprocessable Entity"},
                                                                         {429, "Too Many Requests"},
                                                                         {431, "Request Header Fields Too Large"},
                                                                         {500, "Internal Server Error"},
                                                                         {502, "Bad Gateway"},
                                                                         {503, "Service Unavailable"},
                                                                         {504, "Gateway Timeout"}};
    const auto reason = reasons.find(status);
    return reason == reasons.end() ? "Status" : reason->second;
}

static bool isWritable(const std::string &name, const std::string &value)
{
    const bool isOfEncoder = isFramingField(name) || strcasecmp(name.c_str(), "Connection") == 0;
    return isToken(name) && isFieldValue(value) && !isOfEncoder;
}

/** Second line of defence: what is read from servers has been checked before. */
static status checkHead(const http_response &response)
{
    static constexpr const char *remedy = "report it with the lines of this request";
    if (!http_status::isFinal(response.status)) {
        return error{error_kind::MalformedAnswer, fmt::format("an answer has the status {}", response.status), remedy};
    }
    for (const auto &[name, value] : response.headers) {
        if (!isWritable(name, value)) {
            return error{error_kind::MalformedAnswer, "a header of an answer cannot be written", remedy};
        }
    }
    return {};
}

result<std::string> encodeHead(const http_response &response, bool keepAlive, const std::string &framing)
{
    if (status checked = checkHead(response); failed(checked)) {
        return errorOf(checked);
    }
    std::string out
        = fmt::format("HTTP/1.1 {} {}\r\nConnection: {}\r\n{}", response.status, reasonPhrase(response.status), keepAlive ? "keep-alive" : "close", framing);
    for (const auto &[name, value] : response.headers) {
        out += fmt::format("{}: {}\r\n", name, value);
    }
    if (!response.headers.contains("Server")) {
        out += "Server: carawayloft\r\n";
    }
    return out + "\r\n";
}

} // namespace carawayloft
