#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/** Records of announced backend servers and of the groups that control forms of them. */
namespace carawayloft {

enum class backend_state : std::uint8_t {
    Ready,
    Draining, /**< Finishes running requests and accepts no new ones. */
    Left, /**< Announced that it leaves. */
    Lost, /**< Unreachable. */
};

/** Whether the group is that of one standby, whose head is never told to open; such epochs are odd. */
constexpr bool isStandbyEpoch(group_epoch epoch)
{
    return epoch.value() % 2 == 1;
}

/** An engine's state in its group, as it reports it. */
enum class membership_state : std::uint8_t {
    None,
    Joining,
    Ready,
    Open, /**< The engine is the head of a group that serves. */
    Closing,
    Broken, /**< The engine lost contact with a member for too long. */
};

struct membership_report {
    group_epoch epoch; /**< Zero for none. */
    std::uint32_t rank = 0; /**< Zero for the head. */
    membership_state state = membership_state::None;

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &membership_report::epoch}, field{"rank", &membership_report::rank}, field{"state", &membership_report::state});
    }

    friend bool operator==(const membership_report &, const membership_report &) = default;
};

/** The latest announcement of a backend server. */
struct backend_record {
    backend_id backend;
    service_id service;
    endpoint address;
    availability_zone_id zone;
    fabric_domain_id fabricDomain; /**< Empty for servers of plain services. */
    backend_state state = backend_state::Ready;
    std::int64_t startedAt = 0; /**< Start time by the wall clock in milliseconds; only used to order starts. */
    std::uint64_t announcement = 0; /**< Sequence number of the announcement; increases from the start of the server. */
    duration coldLeft{0}; /**< Remaining cold time when the record was made. */
    std::vector<model_id> staged; /**< Models whose weights are on its host. */
    model_id loaded; /**< Model of its group, or of its last group since its start. */
    membership_report membership;
    double requestLimit = 0.0; /**< Requests per second that it last said it takes from all gateways together; zero for no limit. */

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &backend_record::backend},
                          field{"service", &backend_record::service},
                          field{"address", &backend_record::address},
                          field{"zone", &backend_record::zone},
                          field{"fabric_domain", &backend_record::fabricDomain},
                          field{"state", &backend_record::state},
                          field{"started_at", &backend_record::startedAt},
                          field{"announcement", &backend_record::announcement},
                          field{"cold_left_ms", &backend_record::coldLeft},
                          field{"staged", &backend_record::staged},
                          field{"loaded", &backend_record::loaded},
                          field{"membership", &backend_record::membership},
                          field{"request_limit", &backend_record::requestLimit});
    }
};

enum class group_phase : std::uint8_t {
    Forming, /**< Members are joining. */
    Opening, /**< All members are ready; the head was told to open. */
    Open,
    Closing, /**< The head was told to close. */
};

/** A group of engines that together hold one copy of a model; the first member is the head. */
struct engine_group {
    group_epoch epoch;
    service_id service;
    model_id model;
    group_phase phase = group_phase::Forming;
    std::vector<backend_id> members;

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &engine_group::epoch},
                          field{"service", &engine_group::service},
                          field{"model", &engine_group::model},
                          field{"phase", &engine_group::phase},
                          field{"members", &engine_group::members});
    }

    const backend_id &head() const
    {
        return members.front();
    }
};

} // namespace carawayloft
