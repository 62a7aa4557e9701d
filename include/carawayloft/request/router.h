#pragma once

#include <carawayloft/control/records.h>
#include <carawayloft/core/filter.h>
#include <carawayloft/messages/request_messages.h>
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
    endpoint leadAgent;
    std::uint32_t warmLimit = 1; /**< Concurrent requests that the group can run when warm. */
};

// Inputs.

/** Replaces the set of groups; the statistics of a group that remains in the same epoch are kept. */
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
    std::set<group_id> excludedGroups; /**< Groups that refused this request or failed while running it. */
};

enum class attempt_result : std::uint8_t {
    Answered,
    Refused,
    Failed,
    Cancelled, /**< Ended from the caller's side or by the deadline after the first byte; not counted for or against the group. */
};

struct attempt_ended {
    group_id group;
    attempt_result outcome = attempt_result::Answered;
    duration firstToken{0}; /**< From dispatch to the first byte, minus queueing time; used only for answered attempts. */
    duration total{0}; /**< From dispatch to the last byte, minus queueing time. */
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
    std::size_t knownGroups = 0; /**< Groups of the service, whether or not they are available. */
    duration retryAfter{0};
    std::string reason;
};

struct group_ejected {
    group_id group;
    duration ejectionTime{0};
    std::string reason;
};

struct group_probed {
    group_id group;
};

using router_input = std::variant<groups_changed, load_reported, route_requested, attempt_ended>;
using router_output = std::variant<route_chosen, route_unavailable, group_ejected, group_probed>;

/**
 * Chooses the group for each attempt. The router counts the attempts of its own entry process exactly. The
 * load from other entry processes comes from delayed reports and is averaged over time, so that entry
 * processes with the same outdated report do not all choose the same group.
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
        bool hasReport = false;
        bool refusedSinceReport = false; /**< The group refused an attempt after its last report, so the report is outdated. */
        std::uint32_t inFlight = 0; /**< Attempts of this entry process that have not ended; exact. */
        double othersLoad = 0; /**< Moving average of the requests of other entry processes, from delayed reports. */
        double firstTokenMs = 0; /**< Moving average, as is totalMs; zero before the first sample. */
        double totalMs = 0;
        unsigned samples = 0;
        time_point sampledAt;
        unsigned consecutiveFailures = 0;
        duration ejectionTime{0};
        time_point ejectedUntil;
        bool probing = false; /**< Gets one request at a time after an ejection, until one is answered at normal speed. */
    };

    void handle(const groups_changed &in, time_point now, std::vector<output> &out);
    void handle(const load_reported &in, time_point now, std::vector<output> &out);
    void handle(const route_requested &in, time_point now, std::vector<output> &out);
    void handle(const attempt_ended &in, time_point now, std::vector<output> &out);

    std::vector<group_view *> candidatesFor(const route_requested &in, time_point now, std::size_t &known);
    bool isAvailable(const group_view &view, time_point now) const;
    static double outstanding(const group_view &view);
    group_view *choose(const expected_wait_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    group_view *choose(const random_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    group_view *choose(const round_robin_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    group_view *choose(const least_outstanding_policy &policy, const std::vector<group_view *> &candidates, const route_requested &in, time_point now);
    /** Expected latency of a request at a group. */
    struct expected_times {
        double firstTokenMs = 0;
        double totalMs = 0;
    };

    bool hasFreshSamples(const group_view &view, time_point now) const;
    expected_times expectedTimes(const group_view &view, time_point now) const;
    double expectedWaitMs(const group_view &view, std::uint64_t prefixDigest, time_point now) const;
    bool hasCachedPrefix(const group_view &view, std::uint64_t prefixDigest) const;
    std::optional<expected_times> medianTimes(const service_id &service, time_point now) const;
    void eject(group_view &view, const std::string &reason, time_point now, std::vector<output> &out);

    availability_zone_id m_ownZone;
    route_policy m_policy;
    std::mt19937_64 m_random;
    std::uint64_t m_roundRobinIndex = 0;
    std::map<group_id, group_view> m_groups;
    std::map<std::uint64_t, group_id> m_groupByPrefix; /**< The group that last reported a prompt prefix as cached, by prefix digest. */
    std::vector<std::uint64_t> m_prefixRing; /**< Prefix digests in order of arrival; a full ring replaces its oldest entry. */
    std::size_t m_prefixRingIndex = 0;
};

static_assert(filter<router>);

} // namespace carawayloft
