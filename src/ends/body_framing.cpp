#include "ends/body_framing.h"

#include "ends/http_field.h"

#include <carawayloft/core/http_status.h>

#include <charconv>
#include <limits>
#include <optional>
#include <strings.h>

namespace carawayloft {

static constexpr const char *lengthField = "Content-Length";
static constexpr const char *codingField = "Transfer-Encoding";
static constexpr std::string_view chunkedCoding = "chunked";

/** Largest length that libcurl reads. */
static constexpr std::uint64_t maxLength = std::numeric_limits<std::int64_t>::max();

/** The length that a Content-Length field states; one value may stand there several times (RFC 9110, section 8.6). */
static std::optional<std::uint64_t> parseLength(std::string_view list)
{
    std::optional<std::uint64_t> length;
    for (const std::string_view element : listElements(list)) {
        std::uint64_t value = 0;
        const char *end = element.data() + element.size();
        const auto parsed = std::from_chars(element.data(), end, value);
        const bool isLength = parsed.ec == std::errc() && parsed.ptr == end && value <= maxLength;
        if (!isLength || length.value_or(value) != value) {
            return std::nullopt;
        }
        length = value;
    }
    return length;
}

/** Whether chunks are the only coding; no other one is ever asked for. */
static bool isChunked(std::string_view codings)
{
    const std::vector<std::string_view> elements = listElements(codings);
    return elements.size() == 1 && elements.front().size() == chunkedCoding.size()
           && strncasecmp(elements.front().data(), chunkedCoding.data(), chunkedCoding.size()) == 0;
}

/** Whether a server must not state a body with the status (RFC 9112, section 6.1; RFC 9110, section 8.6). */
static bool mustBeBare(std::uint32_t status)
{
    return http_status::isInformational(status) || status == http_status::noContent;
}

static std::variant<body_framing, answer_fault> readLength(const std::string &stated, const framing_context &context)
{
    const std::optional<std::uint64_t> length = parseLength(stated);
    if (!length || (mustBeBare(context.status) && *length > 0)) {
        return answer_fault::Framing;
    }
    return body_framing(body_with_length{*length});
}

static std::variant<body_framing, answer_fault> readCoding(const std::string &codings, const framing_context &context)
{
    if (mustBeBare(context.status) || context.isHttp10 || !isChunked(codings)) {
        return answer_fault::Framing;
    }
    return body_framing(body_in_chunks{});
}

bool isFramingField(const std::string &name)
{
    return strcasecmp(name.c_str(), lengthField) == 0 || strcasecmp(name.c_str(), codingField) == 0;
}

std::variant<body_framing, answer_fault> readFraming(const http_headers &headers, const framing_context &context)
{
    const auto length = headers.find(lengthField);
    const auto coding = headers.find(codingField);
    std::variant<body_framing, answer_fault> framing = body_framing(body_until_close{});
    if (length != headers.end() && coding != headers.end()) {
        return answer_fault::Framing;
    }
    if (length != headers.end()) {
        framing = readLength(length->second, context);
    } else if (coding != headers.end()) {
        framing = readCoding(coding->second, context);
    }
    const bool hasNoBody = context.isHeadRequest || http_status::hasNoBody(context.status);
    return hasNoBody && std::holds_alternative<body_framing>(framing) ? body_framing(no_body{}) : framing;
}

} // namespace carawayloft
