#pragma once

#include <carawayloft/control/records.h>
#include <carawayloft/core/filter.h>
#include <carawayloft/fleet/fleet_records.h>

#include <map>
#include <variant>

namespace carawayloft {

// Inputs.

/** An announcement of a backend server. */
struct backend_check_in {
    backend_record record;
};

/** A backend server has announced that it leaves. */
struct backend_departure {
    backend_id backend;
};

/** A backend server is unreachable; @p confirmed if it is down and not merely partitioned from this replica. */
struct backend_failure {
    backend_id backend;
    bool confirmed = false;
};

/** A backend server that started at @p startedAt has said in an answer that it leaves. */
struct backend_leaving {
    backend_id backend;
    std::int64_t startedAt = 0; /**< By the wall clock in milliseconds. */
};

/** The departures that the replicated log remembers. */
struct departures_recorded {
    std::vector<departure_record> departures;
};

/** The retention time of the record of a departed backend server has passed. */
struct backend_record_expired {
    backend_id backend;
};

/** A record mirrored from the previous leader. */
struct mirrored_backend_record {
    backend_record record;
};

/** A backend server named a limit in an answer, or none. */
struct request_limit_named {
    backend_id backend;
    double requestsPerSecond = 0.0; /**< From all gateways together; zero for no limit. */
    time_point at;
};

using backend_registry_input = std::variant<backend_check_in,
                                            backend_departure,
                                            backend_leaving,
                                            departures_recorded,
                                            backend_failure,
                                            backend_record_expired,
                                            mirrored_backend_record,
                                            request_limit_named>;

// Outputs.

/** A record was added or has changed. */
struct backend_record_changed {
    backend_id backend;
    bool crashed = false; /**< The run of the server that the record was about has ended, and had not announced that it leaves. */
};

/** The latest record of every announced backend server. */
class backend_registry
{
public:
    using input = backend_registry_input;
    using output = backend_record_changed;

    struct entry {
        backend_record record;
        time_point heardAt;
        time_point coldUntil;
        time_point lostAt; /**< When the server was lost or left. */
        time_point limitNamedAt; /**< Time of the answer that the record's request limit is from. */
        bool confirmedDown = false; /**< While the server is lost or has left: whether it is known to be down. */
        bool replaced = false; /**< A server that started later uses its address. */
        bool leaves = false; /**< It leaves, whatever its later announcements say. */
    };

    std::vector<output> step(const input &in, time_point now);

    const std::map<backend_id, entry> &entries() const
    {
        return m_entries;
    }

    /** The backend server, or nullptr. */
    const entry *find(const backend_id &backend) const;

private:
    std::vector<output> handle(const backend_check_in &in, time_point now);
    std::vector<output> handle(const backend_departure &in, time_point now);
    std::vector<output> handle(const backend_leaving &in, time_point now);
    std::vector<output> handle(const departures_recorded &in, time_point now);
    std::vector<output> handle(const backend_failure &in, time_point now);
    std::vector<output> handle(const backend_record_expired &in, time_point now);
    std::vector<output> handle(const mirrored_backend_record &in, time_point now);
    std::vector<output> handle(const request_limit_named &in, time_point now);
    bool supersedeOlderAtAddress(const backend_record &record, time_point now, std::vector<output> &out);

    bool hasDeparted(const backend_record &record) const;

    std::map<backend_id, entry> m_entries;
    std::map<backend_id, std::int64_t> m_departures; /**< Latest start of each server that left, by the wall clock in milliseconds. */
};

static_assert(filter<backend_registry>);

} // namespace carawayloft
