#pragma once

#include "support/caller_load.h"
#include "support/simulated_group.h"

#include <map>

namespace carawayloft::test_support {

/** Draws the requests of a load: when they come, by which route, account and gateway, and of what length. The same on every platform. */
class caller_population
{
public:
    struct request {
        time_point at;
        simulated_request work;
        std::size_t route = 0;
        std::size_t account = 0;
        std::size_t gateway = 0;
        bool ignoresRetryAfter = false;
    };

    caller_population(caller_load load, std::size_t gateways, std::uint64_t seed, time_point begin)
        : m_load(std::move(load))
        , m_random(seed)
        , m_begin(begin)
        , m_drawnAt(begin)
    {
        m_load.gatewayShares.resize(gateways, m_load.gatewayShares.empty() ? 1.0 : 0.0);
        for (const simulated_route &each : m_load.routes) {
            m_routeShares.push_back(each.share);
        }
        for (const simulated_account &each : m_load.accounts) {
            m_accountShares.push_back(each.share);
        }
        drawNextTime();
    }

    time_point nextAt() const
    {
        return m_nextAt;
    }

    request take()
    {
        request out;
        out.at = m_nextAt;
        out.work = {0, 1.0 + m_load.promptTokens * exponential(), std::min(m_load.maxAnswerTokens, 1.0 + m_load.answerTokens * exponential())};
        out.route = drawIndex(m_routeShares);
        out.account = drawIndex(m_accountShares);
        out.gateway = drawGateway();
        out.ignoresRetryAfter = uniform() < m_load.ignoringRetryAfter;
        drawNextTime();
        return out;
    }

    std::size_t drawGateway()
    {
        return drawIndex(m_load.gatewayShares);
    }

private:
    /** Thins a stream at the highest rate, so that the rate may change at any time. */
    void drawNextTime()
    {
        const double highest = highestRate(m_load.rate);
        do {
            const std::chrono::duration<double> pause(exponential() / highest);
            m_drawnAt += std::chrono::duration_cast<time_point::duration>(pause);
        } while (uniform() * highest > rateAt(m_load.rate, std::chrono::duration_cast<duration>(m_drawnAt - m_begin)));
        m_nextAt = m_drawnAt;
    }

    double uniform()
    {
        static constexpr double range = 4'294'967'296.0;
        return static_cast<double>(m_random() >> 32U) / range;
    }

    /** Exponentially distributed with a mean of one. */
    double exponential()
    {
        return -std::log(1.0 - uniform());
    }

    std::size_t drawIndex(const std::vector<double> &shares)
    {
        double sum = 0.0;
        for (const double each : shares) {
            sum += each;
        }
        double drawn = uniform() * sum;
        for (std::size_t i = 0; i + 1 < shares.size(); ++i) {
            drawn -= shares[i];
            if (drawn < 0.0) {
                return i;
            }
        }
        return shares.size() - 1;
    }

    caller_load m_load;
    std::mt19937_64 m_random;
    time_point m_begin;
    time_point m_drawnAt;
    time_point m_nextAt;
    std::vector<double> m_routeShares;
    std::vector<double> m_accountShares;
};

} // namespace carawayloft::test_support
