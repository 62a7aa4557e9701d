#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/ids.h>

#include <map>
#include <variant>

namespace carawayloft {

// Inputs.

struct account_request_arrived {
    request_id request;
    client_account_id account;
    std::uint32_t maxInFlight = 0;
};

struct account_request_ended {
    request_id request;
};

// Outputs.

struct request_admitted {
    request_id request;
};

struct account_over_limit {
    request_id request;
    duration retryAfter{0};
};

/** Bounds the requests that one client account has in flight at this entry. */
class account_limiter
{
public:
    using input = std::variant<account_request_arrived, account_request_ended>;
    using output = std::variant<request_admitted, account_over_limit>;

    /** What a caller over its limit is told to wait. */
    static constexpr duration retryAfter{1'000};

    std::vector<output> step(const input &in, time_point now);

private:
    std::map<client_account_id, std::uint32_t> m_inFlight;
    std::map<request_id, client_account_id> m_requests;
};

static_assert(filter<account_limiter>);

} // namespace carawayloft
