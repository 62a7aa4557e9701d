#pragma once

#include <carawayloft/service/service_configuration.h>

#include <optional>
#include <vector>

namespace carawayloft {

/** How far a request has come, which matters beside its rank for dispatch and for the engines. */
enum class request_progress : std::uint8_t {
    Interrupted, /**< A stream that has begun and lost its backend server. */
    FirstAttempt,
    Returning, /**< Rejected before, so it can hardly meet its objective. */
};

/** Precedence of a request in dispatch; the smaller value goes first. */
struct dispatch_precedence {
    request_progress progress = request_progress::FirstAttempt;
    request_rank rank;
    bool isAboveFairShare = false; /**< Of an account of which a part is rejected. */

    friend auto operator<=>(const dispatch_precedence &, const dispatch_precedence &) = default;
};

/** The rank of a request: the priority of its account, which may be null, or else that of the route. */
request_rank rankOf(const service_route &route, const account_settings *account);

/** Urgencies by which engines order requests, from 0 (goes first) to 9; engines assume 5 if none is stated. */
class urgency_scale
{
public:
    urgency_scale() = default;

    /** Covers the ranks that requests can have under @p configuration. */
    explicit urgency_scale(const service_configuration &configuration);

    /** Nothing where all requests have the same rank. */
    std::optional<std::uint32_t> urgencyOf(const dispatch_precedence &precedence) const;

private:
    std::vector<request_rank> m_ranks; /**< Highest first. */
};

} // namespace carawayloft
