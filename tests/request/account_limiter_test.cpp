#include <carawayloft/request/account_limiter.h>

#include "support/properties.h"

using namespace carawayloft;

/** The reference model is a list of the requests in flight. Each end is reported twice, and the repetition must change nothing. */
RC_GTEST_PROP(AccountLimiter, MatchesReferenceModel, ())
{
    account_limiter limiter;
    std::vector<std::pair<request_id, client_account_id>> inFlight;
    for (std::uint64_t i = 1; i < 60; ++i) {
        if (!inFlight.empty() && *rc::gen::inRange(0, 3) == 0) {
            const auto index = *rc::gen::inRange<std::size_t>(0, inFlight.size());
            limiter.step(account_request_ended{inFlight[index].first}, {});
            limiter.step(account_request_ended{inFlight[index].first}, {});
            inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        const client_account_id account("a" + std::to_string(*rc::gen::inRange(0, 3)));
        const auto accountInFlight = std::count_if(inFlight.begin(), inFlight.end(), [&](const auto &each) { return each.second == account; });
        const auto out = limiter.step(account_request_arrived{request_id(i), account, 3}, {});
        RC_ASSERT(out.size() == 1U);
        RC_ASSERT(std::holds_alternative<request_admitted>(out[0]) == (accountInFlight < 3));
        if (accountInFlight < 3) {
            inFlight.emplace_back(request_id(i), account);
        }
    }
}
