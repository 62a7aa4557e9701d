#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/request_messages.h>
#include <carawayloft/order/records.h>
#include <carawayloft/request/route_policy.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>

namespace carawayloft {

/** A group that requests may be routed to. */
struct routable_group {
    group_id group;
    group_epoch epoch;
    service_id service;
    availability_zone_id zone;
    endpoint lead;
    std::uint32_t warmLimit = 1; /**< Concurrent requests that it can bear when warm. */
};

// Inputs.

/** Replaces the set of groups; what is known of those that stay is kept. */
struct groups_changed {
    std::vector<routable_group> groups;
};

struct load_reported {
    load_report report;
};

struct route_requested {
    request_id request;
    service_id service;
    std::uint64_t prefixDigest = 0;
    std::set<group_id> excludedGroups; /**< Groups that refused this request already. */
};

enum class attempt_result : std::uint8_t {
    Answered,
    Refused,
    Failed,
    Cancelled, /**< By the caller; says nothing about the group. */
};

struct attempt_ended {
    group_id group;
    attempt_result outcome = attempt_result::Answered;
    duration firstToken{0}; /**< From sending to the first byte, less the wait for a turn; counts when answered. */
    duration total{0}; /**< From sending to the last byte, less the wait for a turn. */
};

// Outputs.

struct route_chosen {
    request_id request;
    routable_group group;
    std::size_t candidates = 0;
    std::string reason; /**< For the log. */
};

struct route_unavailable {
    request_id request;
    std::size_t known = 0; /**< Groups of the service that exist at all. */
    duration retryAfter{0};
    std::string reason;
};

struct group_ejected {
    group_id group;
    duration length{0};
    std::string reason;
};

struct group_probed {
    group_id group;
};

using router_input = std::variant<groups_changed, load_reported, route_requested, attempt_ended>;
using router_output = std::variant<route_chosen, route_unavailable, group_ejected, group_probed>;

/**
 * Chooses the group for each attempt. What this entry has in flight is known exactly; what others have
 * comes from late reports and is averaged over time, so that entries with the same old report do not all
 * run to the same group.
 */
class router
{
public:
    using input = router_input;
    using output = router_output;

    router(availability_zone_id ownZone, route_policy policy, std::uint64_t seed);

    std::vector<output> step(const input &in, time_point now);

private:
    struct group_view {
        routable_group group;
        load_report report;
        time_point reportedAt;
        bool reported = false;
        bool refusedSinceReport = false; /**< What the last report said no longer holds. */
        std::uint32_t inFlight = 0; /**< Attempts of this entry that have not ended; known without delay. */
        double othersLoad = 0; /**< Moving average of what other entries have there, from late reports. */
        double firstTokenMs = 0; /**< Moving averages; zero before the first sample. */
        double totalMs = 0;
        unsigned samples = 0;
        time_point sampledAt;
        unsigned failuresInRow = 0;
        duration ejection{0};
        time_point ejectedUntil;
        bool probing = false;
    };

    void take(const groups_changed &in, time_point now, std::vector<output> &out);
    void take(const load_reported &in, time_point now, std::vector<output> &out);
    void take(const route_requested &in, time_point now, std::vector<output> &out);
    void take(const attempt_ended &in, time_point now, std::vector<output> &out);

    std::vector<group_view *> candidatesFor(const route_requested &in, time_point now, std::size_t &known);
    bool isOpen(const group_view &view, time_point now) const;
    static double outstanding(const group_view &view);
    group_view *choose(const expected_wait_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    group_view *choose(const random_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    group_view *choose(const round_robin_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    group_view *choose(const least_outstanding_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    /** Times that a group is expected to take. */
    struct expected_times {
        double firstTokenMs = 0;
        double totalMs = 0;
    };

    bool isFresh(const group_view &view, time_point now) const;
    expected_times expectedTimes(const group_view &view, time_point now) const;
    double expectedWaitMs(const group_view &view, std::uint64_t prefixDigest, time_point now) const;
    bool hasPrefix(const group_view &view, std::uint64_t prefixDigest) const;
    std::optional<expected_times> medianTimes(const service_id &service, time_point now) const;
    void eject(group_view &view, const std::string &reason, time_point now, std::vector<output> &out);

    availability_zone_id m_ownZone;
    route_policy m_policy;
    std::mt19937_64 m_random;
    std::uint64_t m_turn = 0;
    std::map<group_id, group_view> m_groups;
    std::map<std::uint64_t, group_id> m_prefixes; /**< Where a prompt's beginning was last seen. */
    std::vector<std::uint64_t> m_prefixOrder;
    std::size_t m_prefixTurn = 0;
};

static_assert(filter<router>);

} // namespace carawayloft
