#include <carawayloft/request/account_limiter.h>

namespace carawayloft {

std::vector<account_limiter::output> account_limiter::step(const input &in, time_point)
{
    if (const auto *ended = std::get_if<account_request_ended>(&in)) {
        const auto found = m_accountByRequest.find(ended->request);
        if (found != m_accountByRequest.end()) {
            const auto account = m_inFlightByAccount.find(found->second);
            if (--account->second == 0) {
                m_inFlightByAccount.erase(account);
            }
            m_accountByRequest.erase(found);
        }
        return {};
    }
    const auto &arrived = std::get<account_request_arrived>(in);
    const auto known = m_inFlightByAccount.find(arrived.account);
    if (arrived.maxInFlight == 0 || (known != m_inFlightByAccount.end() && known->second >= arrived.maxInFlight)) {
        return {account_over_limit{arrived.request, retryAfter}};
    }
    ++m_inFlightByAccount[arrived.account];
    m_accountByRequest.emplace(arrived.request, arrived.account);
    return {request_admitted{arrived.request}};
}

} // namespace carawayloft
