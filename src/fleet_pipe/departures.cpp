#include <carawayloft/fleet/departures.h>

namespace carawayloft {

std::optional<departure_record> announcedDeparture(const backend_check_in &announcement)
{
    if (announcement.record.state != backend_state::Draining) {
        return std::nullopt;
    }
    return departure_record{announcement.record.backend, announcement.record.startedAt};
}

departure_record announcedDeparture(const backend_departure &announcement, const backend_registry &registry, wall_time now)
{
    const backend_registry::entry *entry = registry.find(announcement.backend);
    return {announcement.backend, entry == nullptr ? static_cast<std::int64_t>(now.time_since_epoch().count()) : entry->record.startedAt};
}

} // namespace carawayloft
