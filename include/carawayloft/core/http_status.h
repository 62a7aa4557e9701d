#pragma once

#include <cstdint>

/** HTTP status codes (RFC 9110, RFC 6585) that decisions depend on. */
namespace carawayloft::http_status {

inline constexpr std::uint32_t lowest = 100;
inline constexpr std::uint32_t switchingProtocols = 101;
inline constexpr std::uint32_t ok = 200; /**< Lowest code of a final answer; those below it are informational (1xx). */
inline constexpr std::uint32_t noContent = 204;
inline constexpr std::uint32_t notModified = 304;
inline constexpr std::uint32_t temporaryRedirect = 307;
inline constexpr std::uint32_t unauthorized = 401;
inline constexpr std::uint32_t notFound = 404;
inline constexpr std::uint32_t requestTimeout = 408;
inline constexpr std::uint32_t misdirectedRequest = 421;
inline constexpr std::uint32_t tooManyRequests = 429;
inline constexpr std::uint32_t internalServerError = 500; /**< Lowest code of the server errors (5xx). */
inline constexpr std::uint32_t badGateway = 502;
inline constexpr std::uint32_t serviceUnavailable = 503;
inline constexpr std::uint32_t gatewayTimeout = 504;
inline constexpr std::uint32_t highest = 599;

/** Whether @p status is one of a final answer. */
constexpr bool isFinal(std::uint32_t status)
{
    return status >= ok && status <= highest;
}

/** Whether answers with @p status never have a body. */
constexpr bool hasNoBody(std::uint32_t status)
{
    return status < ok || status == noContent || status == notModified;
}

/** Whether @p status is one of an answer that another one follows. */
constexpr bool isInformational(std::uint32_t status)
{
    return status >= lowest && status < ok && status != switchingProtocols;
}

} // namespace carawayloft::http_status
