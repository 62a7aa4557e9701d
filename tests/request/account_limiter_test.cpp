#include <carawayloft/request/account_limiter.h>

#include "support/properties.h"

using namespace carawayloft;

/** The naive version: a list of what is in flight. */
RC_GTEST_PROP(AccountLimiter, AgreesWithACount, ())
{
    account_limiter limiter;
    std::vector<std::pair<request_id, client_account_id>> inFlight;
    for (std::uint64_t i = 1; i < 60; ++i) {
        if (!inFlight.empty() && *rc::gen::inRange(0, 3) == 0) {
            const auto place = *rc::gen::inRange<std::size_t>(0, inFlight.size());
            limiter.step(account_request_ended{inFlight[place].first}, {});
            limiter.step(account_request_ended{inFlight[place].first}, {});
            inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(place));
            continue;
        }
        const client_account_id account("a" + std::to_string(*rc::gen::inRange(0, 3)));
        const auto same = std::count_if(inFlight.begin(), inFlight.end(), [&](const auto &each) { return each.second == account; });
        const auto out = limiter.step(account_request_arrived{request_id(i), account, 3}, {});
        RC_ASSERT(out.size() == 1U);
        RC_ASSERT(std::holds_alternative<request_admitted>(out[0]) == (same < 3));
        if (same < 3) {
            inFlight.emplace_back(request_id(i), account);
        }
    }
}
