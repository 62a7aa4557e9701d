#include "core/event.h"

namespace carawayloft {

event_traits traitsOf(event_number event)
{
    switch (event) {
    case event_number::ProcessStarted:
        return {"process_started", severity::Info};
    case event_number::ProcessStopping:
        return {"process_stopping", severity::Info};
    case event_number::ProcessStopped:
        return {"process_stopped", severity::Info};
    case event_number::SettingsRejected:
        return {"settings_rejected", severity::Error};
    case event_number::StopOverdue:
        return {"stop_overdue", severity::Warning};
    case event_number::LinkOpened:
        return {"link_opened", severity::Info};
    case event_number::LinkClosed:
        return {"link_closed", severity::Info};
    case event_number::FrameRejected:
        return {"frame_rejected", severity::Warning};
    case event_number::HttpConnectionRejected:
        return {"http_connection_rejected", severity::Info};
    case event_number::HttpBodyTooLarge:
        return {"http_body_too_large", severity::Info};
    case event_number::HttpRequestTooSlow:
        return {"http_request_too_slow", severity::Info};
    case event_number::ByteBudgetExhausted:
        return {"byte_budget_exhausted", severity::Warning};
    case event_number::UntakenAnswerCut:
        return {"untaken_answer_cut", severity::Warning};
    case event_number::HttpConnectionLimitReached:
        return {"http_connection_limit_reached", severity::Info};
    case event_number::MalformedAnswer:
        return {"malformed_answer", severity::Warning};
    case event_number::UnwritableAnswer:
        return {"unwritable_answer", severity::Error};
    case event_number::HandlerFailed:
        return {"handler_failed", severity::Error};
    case event_number::RequestRejected:
        return {"request_rejected", severity::Info};
    case event_number::RouteChosen:
        return {"route_chosen", severity::Info};
    case event_number::RouteNone:
        return {"route_none", severity::Warning};
    case event_number::RequestRetried:
        return {"request_retried", severity::Info};
    case event_number::StreamResumed:
        return {"stream_resumed", severity::Warning};
    case event_number::AnswerCut:
        return {"answer_cut", severity::Error};
    case event_number::RequestOutcomeUnknown:
        return {"request_outcome_unknown", severity::Warning};
    case event_number::CallerGone:
        return {"caller_gone", severity::Info};
    case event_number::GroupEjected:
        return {"group_ejected", severity::Warning};
    case event_number::GroupProbed:
        return {"group_probed", severity::Info};
    case event_number::ClaimDecided:
        return {"claim_decided", severity::Info};
    case event_number::UnansweredCallLost:
        return {"unanswered_call_lost", severity::Warning};
    case event_number::BackendLimitObserved:
        return {"backend_limit_observed", severity::Info};
    case event_number::BackendLeavingObserved:
        return {"backend_leaving_observed", severity::Info};
    case event_number::BackendRefusalObserved:
        return {"backend_refusal_observed", severity::Info};
    case event_number::AdmissionRefused:
        return {"admission_refused", severity::Info};
    case event_number::WorkRefused:
        return {"work_refused", severity::Info};
    case event_number::LimitChanged:
        return {"limit_changed", severity::Info};
    case event_number::BackendAnnounced:
        return {"backend_announced", severity::Info};
    case event_number::BackendCold:
        return {"backend_cold", severity::Warning};
    case event_number::BackendLost:
        return {"backend_lost", severity::Error};
    case event_number::BackendLeaving:
        return {"backend_leaving", severity::Info};
    case event_number::GroupSilenced:
        return {"group_silenced", severity::Error};
    case event_number::GroupWhole:
        return {"group_whole", severity::Info};
    case event_number::LeaseRefused:
        return {"lease_refused", severity::Warning};
    case event_number::ControlLeaseLost:
        return {"control_lease_lost", severity::Warning};
    case event_number::ControlLeaseGained:
        return {"control_lease_gained", severity::Info};
    case event_number::CallRepeated:
        return {"call_repeated", severity::Info};
    case event_number::GroupSuspended:
        return {"group_suspended", severity::Warning};
    case event_number::RequestEnded:
        return {"request_ended", severity::Info};
    case event_number::ServiceRightLost:
        return {"service_right_lost", severity::Warning};
    case event_number::ServiceRightGained:
        return {"service_right_gained", severity::Info};
    case event_number::ConfigurationInForce:
        return {"configuration_in_force", severity::Info};
    case event_number::ConfigurationUnreadable:
        return {"configuration_unreadable", severity::Error};
    case event_number::SettingsReread:
        return {"settings_reread", severity::Info};
    case event_number::BackendNoticed:
        return {"backend_noticed", severity::Info};
    case event_number::EngineGroupChanged:
        return {"engine_group_changed", severity::Info};
    case event_number::EngineGroupRetired:
        return {"engine_group_retired", severity::Info};
    case event_number::EngineOrdered:
        return {"engine_ordered", severity::Info};
    case event_number::EngineOrderAnswered:
        return {"engine_order_answered", severity::Info};
    case event_number::BackendProbed:
        return {"backend_probed", severity::Info};
    case event_number::FleetLed:
        return {"fleet_led", severity::Info};
    case event_number::ModelAssessed:
        return {"model_assessed", severity::Info};
    case event_number::CrashRecorded:
        return {"crash_recorded", severity::Warning};
    case event_number::TraitSuspected:
        return {"trait_suspected", severity::Warning};
    case event_number::TraitQuarantined:
        return {"trait_quarantined", severity::Error};
    case event_number::TraitReleased:
        return {"trait_released", severity::Info};
    case event_number::DepartureRecorded:
        return {"departure_recorded", severity::Info};
    case event_number::EngineGroupRecorded:
        return {"engine_group_recorded", severity::Info};
    case event_number::EngineGroupRemoved:
        return {"engine_group_removed", severity::Info};
    case event_number::EngineOrdersAllowed:
        return {"engine_orders_allowed", severity::Info};
    case event_number::EngineGroupsProposed:
        return {"engine_groups_proposed", severity::Info};
    case event_number::FigureReplaced:
        return {"figure_replaced", severity::Warning};
    case event_number::RoleChanged:
        return {"role_changed", severity::Info};
    case event_number::ChangeAccepted:
        return {"change_accepted", severity::Info};
    case event_number::ChangeRefused:
        return {"change_refused", severity::Info};
    case event_number::RevisionInForce:
        return {"revision_in_force", severity::Info};
    case event_number::RevisionIgnored:
        return {"revision_ignored", severity::Warning};
    case event_number::LogFormed:
        return {"log_formed", severity::Info};
    case event_number::LogRecovered:
        return {"log_recovered", severity::Info};
    case event_number::SnapshotTaken:
        return {"snapshot_taken", severity::Info};
    case event_number::ReplicaStopped:
        return {"replica_stopped", severity::Error};
    case event_number::ReplicaJoining:
        return {"replica_joining", severity::Warning};
    case event_number::DiskSpaceLow:
        return {"disk_space_low", severity::Error};
    case event_number::DiskFull:
        return {"disk_full", severity::Error};
    case event_number::DiskWritable:
        return {"disk_writable", severity::Info};
    case event_number::OperatorRequestAnswered:
        return {"operator_request_answered", severity::Info};
    case event_number::MembersChanged:
        return {"members_changed", severity::Info};
    case event_number::GroupPlaced:
        return {"group_placed", severity::Info};
    case event_number::GroupDissolved:
        return {"group_dissolved", severity::Info};
    case event_number::MemberReplaced:
        return {"member_replaced", severity::Info};
    case event_number::PlacementStranded:
        return {"placement_stranded", severity::Warning};
    case event_number::PlanProposed:
        return {"plan_proposed", severity::Info};
    case event_number::PlanConfirmed:
        return {"plan_confirmed", severity::Info};
    case event_number::PlanStepDone:
        return {"plan_step_done", severity::Info};
    case event_number::PlanCancelled:
        return {"plan_cancelled", severity::Info};
    case event_number::ZoneChanged:
        return {"zone_changed", severity::Info};
    }
    return {"unknown", severity::Error};
}

} // namespace carawayloft
