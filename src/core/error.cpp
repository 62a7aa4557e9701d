#include <carawayloft/core/error.h>

namespace carawayloft {

const char *name(error_kind kind)
{
    switch (kind) {
    case error_kind::InvalidSettings:
        return "invalid_settings";
    case error_kind::InvalidRequest:
        return "invalid_request";
    case error_kind::Unauthorized:
        return "unauthorized";
    case error_kind::UnknownZone:
        return "unknown_zone";
    case error_kind::UnknownHost:
        return "unknown_host";
    case error_kind::UnknownGroup:
        return "unknown_group";
    case error_kind::UnknownService:
        return "unknown_service";
    case error_kind::UnknownPlan:
        return "unknown_plan";
    case error_kind::UnknownClaim:
        return "unknown_claim";
    case error_kind::HostAlreadyAssigned:
        return "host_already_assigned";
    case error_kind::DeadlineInThePast:
        return "deadline_in_the_past";
    case error_kind::NoServiceLeft:
        return "no_service_left";
    case error_kind::RevisionConflict:
        return "revision_conflict";
    case error_kind::PlanConflict:
        return "plan_conflict";
    case error_kind::KeyReused:
        return "key_reused";
    case error_kind::NotLeader:
        return "not_leader";
    case error_kind::NotReady:
        return "not_ready";
    case error_kind::Overloaded:
        return "overloaded";
    case error_kind::Stopping:
        return "stopping";
    case error_kind::DiskDamaged:
        return "disk_damaged";
    case error_kind::DiskFailed:
        return "disk_failed";
    case error_kind::DiskFull:
        return "disk_full";
    case error_kind::ConnectionFailed:
        return "connection_failed";
    case error_kind::MalformedFrame:
        return "malformed_frame";
    case error_kind::VersionMismatch:
        return "version_mismatch";
    case error_kind::Quarantined:
        return "quarantined";
    case error_kind::UnknownQuarantine:
        return "unknown_quarantine";
    case error_kind::MalformedAnswer:
        return "malformed_answer";
    case error_kind::Internal:
        return "internal";
    }
    return "unknown";
}

std::string describe(const error &failure)
{
    return failure.remedy.empty() ? failure.what : failure.what + "; " + failure.remedy;
}

} // namespace carawayloft
