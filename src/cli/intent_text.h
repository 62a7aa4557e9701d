#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>
#include <carawayloft/core/units.h>

#include <string>

namespace carawayloft::cli {

/** "empty mid-a by Sunday noon", understood. */
struct intent_text {
    availability_zone_id leaving;
    availability_zone_id arriving; /**< Empty when the rest takes over. */
    wall_time deadline;
};

/**
 * Reads "empty ZONE by WHEN [into ZONE]". WHEN is a date (2026-12-06) or a weekday, and a time (12:00,
 * noon, midnight), in @p timeZone (an IANA name such as Europe/London; empty for the machine's own).
 * A weekday is the next one whose time lies after @p now. Fails with InvalidRequest.
 */
result<intent_text> parseIntent(const std::string &text, const std::string &timeZone, wall_time now);

/** The date and time with its zone, for an operator to check. */
std::string formatTime(wall_time when, const std::string &timeZone);

} // namespace carawayloft::cli
