#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <map>

namespace carawayloft {

/**
 * What backend servers have said about themselves in answers to this gateway: that they leave, or that they want no
 * requests from it for a time. A notice concerns the start of the server that gave it, not a later one under its id.
 */
class backend_notices
{
public:
    /** Records that the server, started at @p startedAt, leaves; returns whether that was unknown here. */
    bool recordLeaving(const backend_id &backend, std::int64_t startedAt);

    /** Records that the server, started at @p startedAt, wants no requests from this gateway for @p length. */
    void recordRefusal(const backend_id &backend, std::int64_t startedAt, duration length, time_point now);

    /** Whether the server has said that it leaves. */
    bool isLeaving(const backend_record &record) const;

    /** Whether the server wants no requests from this gateway now. */
    bool refuses(const backend_record &record, time_point now) const;

    /** Drops the notices of a server that is gone. */
    void forget(const backend_id &backend);

    /** The servers that leave, for control. */
    std::vector<leaving_backend> leaving() const;

private:
    struct notice {
        std::int64_t startedAt = 0;
        bool leaves = false;
        time_point refusesUntil;
    };

    notice &noticeOf(const backend_id &backend, std::int64_t startedAt);
    const notice *find(const backend_record &record) const;

    std::map<backend_id, notice> m_notices;
};

} // namespace carawayloft
