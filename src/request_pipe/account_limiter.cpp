#include <carawayloft/request/account_limiter.h>

namespace carawayloft {

std::vector<account_limiter::output> account_limiter::step(const input &in, time_point)
{
    if (const auto *ended = std::get_if<account_request_ended>(&in)) {
        const auto found = m_requests.find(ended->request);
        if (found != m_requests.end()) {
            const auto account = m_inFlight.find(found->second);
            if (--account->second == 0) {
                m_inFlight.erase(account);
            }
            m_requests.erase(found);
        }
        return {};
    }
    const auto &arrived = std::get<account_request_arrived>(in);
    const auto known = m_inFlight.find(arrived.account);
    if (arrived.maxInFlight == 0 || (known != m_inFlight.end() && known->second >= arrived.maxInFlight)) {
        return {account_over_limit{arrived.request, retryAfter}};
    }
    ++m_inFlight[arrived.account];
    m_requests.emplace(arrived.request, arrived.account);
    return {request_admitted{arrived.request}};
}

} // namespace carawayloft
