#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/** Backend servers that announce themselves and the groups that control forms of them. */
namespace carawayloft {

enum class backend_state : std::uint8_t {
    Ready,
    Draining, /**< Finishes what it has; gets nothing new. */
    Left, /**< Said that it is gone. */
    Lost, /**< Cannot be reached. */
};

/** What an engine says of its membership in a group. */
enum class membership_state : std::uint8_t {
    None,
    Joining,
    Ready,
    Open, /**< Head of a group that serves. */
    Closing,
    Broken, /**< A member was missing for too long. */
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

/** A backend server as it announced itself. */
struct backend_record {
    backend_id backend;
    service_id service;
    endpoint address;
    availability_zone_id zone;
    fabric_domain_id fabricDomain; /**< Empty for servers of plain services. */
    backend_state state = backend_state::Ready;
    std::int64_t startedAt = 0; /**< Wall clock of its start in milliseconds; only ever compared. */
    std::uint64_t announcement = 0; /**< Number of the announcement that said this; grows from its start on. */
    duration coldLeft{0}; /**< When the record was made. */
    std::vector<model_id> staged; /**< Models whose weights its host holds. */
    model_id loaded; /**< Model of its group, or of the last one since its start. */
    membership_report membership;

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
                          field{"membership", &backend_record::membership});
    }
};

enum class group_phase : std::uint8_t {
    Forming, /**< Its members join. */
    Opening, /**< All members are ready; the head was told to open. */
    Open,
    Closing, /**< The head was told to close. */
};

/** A group of engines that together hold one copy of a model; its first member is the head. */
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
