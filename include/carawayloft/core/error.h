#pragma once

#include <cstdint>
#include <string>

namespace carawayloft {

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
};

/** What went wrong and what the reader can do about it. */
struct error {
    error_kind kind = error_kind::InvalidRequest;
    std::string what;
    std::string remedy;
};

/** Stable name of @p kind, as written in logs and JSON. */
const char *name(error_kind kind);

/** "what; remedy" in one line. */
std::string describe(const error &failure);

} // namespace carawayloft
