#pragma once

#include <cstdint>

namespace carawayloft {

/** Why an HTTP server rejected a request by itself, or gave up a connection. */
enum class http_rejection : std::uint8_t {
    Malformed, /**< Not HTTP, or headers over a limit; 400, 414 or 431. */
    Incomplete, /**< The caller closed before a whole request came. */
    BodyTooLarge, /**< 413. */
    TooSlow, /**< 408. */
    BudgetExhausted, /**< 503: unfinished bodies take more than the process may hold. */
    AnswerUntaken, /**< Cut: untaken answers take more than the process may hold. */
    AnswerUnwritable, /**< 502: the answer has a status or a header that HTTP does not allow. */
    TooManyConnections, /**< Closed: the client address has as many connections as it may. */
};

constexpr const char *name(http_rejection rejection)
{
    switch (rejection) {
    case http_rejection::Malformed:
        return "malformed";
    case http_rejection::Incomplete:
        return "incomplete";
    case http_rejection::BodyTooLarge:
        return "body_too_large";
    case http_rejection::TooSlow:
        return "too_slow";
    case http_rejection::BudgetExhausted:
        return "budget_exhausted";
    case http_rejection::AnswerUntaken:
        return "answer_untaken";
    case http_rejection::AnswerUnwritable:
        return "answer_unwritable";
    case http_rejection::TooManyConnections:
        return "too_many_connections";
    }
    return "unknown";
}

} // namespace carawayloft
