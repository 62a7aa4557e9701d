#pragma once

#include <carawayloft/core/overloaded.h>
#include <carawayloft/core/units.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <numbers>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What the callers of a simulated fleet ask for. Times count from the first request. */
namespace carawayloft::test_support {

struct constant_rate {
    double perSecond = 0.0;
};

/** A higher rate for a limited time. */
struct burst_rate {
    double perSecond = 0.0;
    double burstPerSecond = 0.0;
    duration from{0};
    duration length{0};
};

/** A rate that rises and falls as a sine. */
struct wave_rate {
    double meanPerSecond = 0.0;
    double amplitudePerSecond = 0.0;
    duration period{1'000};
};

using request_rate = std::variant<constant_rate, burst_rate, wave_rate>;

inline double rateAt(const request_rate &rate, duration at)
{
    return std::visit(overloaded{
                          [](const constant_rate &each) { return each.perSecond; },
                          [at](const burst_rate &each) { return at >= each.from && at < each.from + each.length ? each.burstPerSecond : each.perSecond; },
                          [at](const wave_rate &each) {
                              const double turns = static_cast<double>(at.count()) / static_cast<double>(each.period.count());
                              return each.meanPerSecond + each.amplitudePerSecond * std::sin(2.0 * std::numbers::pi * turns);
                          },
                      },
                      rate);
}

inline double highestRate(const request_rate &rate)
{
    return std::visit(overloaded{
                          [](const constant_rate &each) { return each.perSecond; },
                          [](const burst_rate &each) { return std::max(each.perSecond, each.burstPerSecond); },
                          [](const wave_rate &each) { return each.meanPerSecond + each.amplitudePerSecond; },
                      },
                      rate);
}

struct simulated_route {
    std::string name = "draft";
    duration objective{250};
    duration longestPause{200};
    duration timeLimit{5'000};
    std::uint32_t priority = 0;
    double share = 1.0; /**< Of the requests; relative to the other routes. */
};

struct simulated_account {
    std::string name = "firm";
    std::optional<std::uint32_t> priority; /**< Overrides the route's. */
    double share = 1.0; /**< Of the requests; relative to the other accounts. */
};

struct caller_load {
    request_rate rate{};
    double promptTokens = 0.0; /**< Mean of an exponential distribution. */
    double answerTokens = 0.0; /**< Mean of an exponential distribution. */
    double maxAnswerTokens = std::numeric_limits<double>::max(); /**< Answers that would be longer end here. */
    std::vector<simulated_route> routes{simulated_route{}};
    std::vector<simulated_account> accounts{simulated_account{}};
    std::vector<double> gatewayShares{}; /**< Of the requests, relative to each other; empty for equal shares. */
    double ignoringRetryAfter = 0.0; /**< Share of the callers that return at once after a rejection. */
    bool needsAccessKey = true;
};

} // namespace carawayloft::test_support
