#pragma once

#include <carawayloft/backend/admission.h>
#include <carawayloft/request/retry_budget.h>
#include <carawayloft/request/router.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace carawayloft::bench {

struct model_options {
    std::uint64_t seed = 1;
    unsigned entries = 4;
    unsigned groups = 12;
    unsigned zones = 3;
    std::uint32_t coldLimit = 4;
    std::uint32_t warmLimit = 16;
    double requestsPerSecond = 100;
    duration length{60'000};
    duration prefill{120}; /**< Time to the first token of an engine with nothing else to do. */
    duration decode{1'200}; /**< Time from the first token to the last. */
    duration timeLimit{10'000}; /**< A caller's; an answer after it is worth nothing. */
    duration reportPeriod{250};
    duration reportDelay{150};
    double lostReports = 0.1; /**< Share of load reports that never arrive. */
    unsigned stragglers = 1; /**< Groups that are slower by stragglerFactor. */
    double stragglerFactor = 8;
    duration zoneOutAt{0}; /**< When the first zone is taken out; zero for never. */
    unsigned prefixes = 40; /**< Prompt beginnings in use; a cached one saves half of the prefill. */
    route_policy policy = expected_wait_policy{};
};

struct model_result {
    std::vector<double> firstTokenMs; /**< Of the answers that came in time. */
    std::uint64_t offered = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t refused = 0;
    std::uint64_t late = 0;
    std::uint64_t retries = 0;

    /** A quantile of the time to the first token, in milliseconds. */
    double quantile(double share) const;
    double usefulPerSecond(duration length) const;
};

/**
 * A model of entries before groups: real routers, retry budgets and admission, and engines that slow down
 * as they fill. Time is simulated; the same seed gives the same run.
 */
class serving_model
{
public:
    explicit serving_model(model_options options);

    model_result run();

private:
    struct entry {
        router routes;
        retry_budget budget;
    };
    struct group {
        admission admitted;
        double slowness = 1;
        unsigned zone = 0;
        std::map<unsigned, std::uint32_t> presentFrom;
        std::set<std::uint64_t> cached;
        std::uint64_t lastPrefix = 0;
        bool open = true;
    };
    struct request {
        unsigned entry = 0;
        std::uint64_t prefix = 0;
        time_point begun;
        time_point sentAt;
        time_point deliveredAt;
        duration waited{0};
        unsigned group = 0;
        std::set<group_id> excludedGroups;
        duration firstToken{0};
    };
    using event = std::function<void()>;
    struct scheduled {
        time_point at;
        std::uint64_t order = 0;
        event call;

        bool operator<(const scheduled &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void after(duration delay, event call);
    void arrive();
    void route(std::uint64_t id);
    void deliver(std::uint64_t id);
    void act(const std::vector<admission_output> &outputs);
    void begin(std::uint64_t id);
    void finish(std::uint64_t id);
    void refuse(std::uint64_t id);
    void report(unsigned groupIndex);
    void takeZoneOut();
    double uniform();

    model_options m_options;
    model_result m_result;
    time_point m_now{std::chrono::hours(1)};
    time_point m_end;
    std::mt19937_64 m_random;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastRequest = 0;
    std::priority_queue<scheduled> m_events;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<group> m_groups;
    std::map<std::uint64_t, request> m_requests;
};

} // namespace carawayloft::bench
