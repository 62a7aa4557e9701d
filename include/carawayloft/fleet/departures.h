#pragma once

#include <carawayloft/fleet/backend_registry.h>

#include <optional>

/** What has to be in the replicated log before control confirms to a backend server that it has heard of its departure. */
namespace carawayloft {

/** The departure that a check-in announces, if it does. */
std::optional<departure_record> announcedDeparture(const backend_check_in &announcement);

/**
 * The departure that a server announced by name alone. Of a server that @p registry does not know, it covers every run
 * that started before @p now.
 */
departure_record announcedDeparture(const backend_departure &announcement, const backend_registry &registry, wall_time now);

} // namespace carawayloft
