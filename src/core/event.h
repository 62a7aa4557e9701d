#pragma once

#include <cstdint>

namespace carawayloft {

/** Numbers of log events; docs/EVENTS.md explains each event and what an operator does about it. */
enum class event_number : std::uint16_t {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    SettingsRejected = 103,
    StopOverdue = 104,
    SettingsReread = 105,
    LinkOpened = 110,
    LinkClosed = 111,
    FrameRejected = 112,
    HttpConnectionRejected = 113,
    HttpBodyTooLarge = 114,
    HttpRequestTooSlow = 115,
    ByteBudgetExhausted = 116,
    UntakenAnswerCut = 117,
    HttpConnectionLimitReached = 118,
    RequestRejected = 200,
    RouteChosen = 201,
    RouteNone = 202,
    RequestRetried = 203,
    StreamResumed = 204,
    AnswerCut = 205,
    RequestOutcomeUnknown = 206,
    CallerGone = 207,
    GroupEjected = 208,
    GroupProbed = 209,
    ClaimDecided = 210,
    CallRepeated = 211,
    GroupSuspended = 212,
    RequestEnded = 213,
    ServiceRightLost = 214,
    ServiceRightGained = 215,
    ConfigurationInForce = 216,
    ConfigurationUnreadable = 217,
    UnansweredCallLost = 218,
    BackendLimitObserved = 219,
    BackendLeavingObserved = 220,
    BackendRefusalObserved = 221,
    AdmissionRefused = 222,
    WorkRefused = 300,
    LimitChanged = 301,
    BackendAnnounced = 302,
    BackendCold = 303,
    BackendLost = 304,
    BackendLeaving = 305,
    GroupSilenced = 310,
    GroupWhole = 311,
    LeaseRefused = 312,
    ControlLeaseLost = 313,
    ControlLeaseGained = 314,
    BackendNoticed = 320,
    EngineGroupChanged = 321,
    EngineGroupRetired = 322,
    EngineOrdered = 323,
    EngineOrderAnswered = 324,
    BackendProbed = 325,
    FleetLed = 326,
    ModelAssessed = 327,
    CrashRecorded = 328,
    TraitSuspected = 329,
    TraitQuarantined = 330,
    TraitReleased = 331,
    DepartureRecorded = 332,
    EngineGroupRecorded = 333,
    EngineGroupRemoved = 334,
    EngineOrdersAllowed = 335,
    EngineGroupsProposed = 336,
    RoleChanged = 400,
    ChangeAccepted = 401,
    ChangeRefused = 402,
    RevisionInForce = 403,
    RevisionIgnored = 404,
    LogFormed = 405,
    LogRecovered = 406,
    SnapshotTaken = 407,
    ReplicaStopped = 408,
    ReplicaJoining = 409,
    DiskSpaceLow = 410,
    DiskFull = 411,
    DiskWritable = 412,
    GroupPlaced = 500,
    GroupDissolved = 501,
    MemberReplaced = 502,
    PlacementStranded = 503,
    PlanProposed = 510,
    PlanConfirmed = 511,
    PlanStepDone = 512,
    PlanCancelled = 513,
    ZoneChanged = 514,
};

enum class severity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

struct event_traits {
    const char *name;
    severity level;
};

/** Log name and severity of @p event. */
event_traits traitsOf(event_number event);

} // namespace carawayloft
