#pragma once

#include <cstdint>
#include <string>

namespace carawayloft {

/** Kind of an error. Results of commands are stored with its number, so new kinds go to the end. */
enum class error_kind : std::uint8_t {
    InvalidSettings,
    InvalidRequest,
    Unauthorized,
    UnknownZone,
    UnknownHost,
    UnknownGroup,
    UnknownService,
    UnknownPlan,
    UnknownClaim,
    HostAlreadyAssigned,
    DeadlineInThePast,
    NoServiceLeft,
    RevisionConflict,
    PlanConflict,
    KeyReused,
    NotLeader,
    NotReady,
    Overloaded,
    Stopping,
    DiskDamaged,
    DiskFailed,
    DiskFull,
    ConnectionFailed,
    MalformedFrame,
    VersionMismatch,
    Quarantined,
    UnknownQuarantine,
    MalformedAnswer,
    Internal, /**< A fault of the process itself. */
};

/** An error as operators and callers read it: what failed, and what they can do about it. */
struct error {
    error_kind kind = error_kind::InvalidRequest;
    std::string what;
    std::string remedy; /**< Empty if there is nothing to advise. */
};

/** Name of @p kind in logs, metrics and JSON; other programs rely on it, so it never changes. */
const char *name(error_kind kind);

/** @p failure in one line: "what; remedy", or "what" alone if there is no remedy. */
std::string describe(const error &failure);

} // namespace carawayloft
