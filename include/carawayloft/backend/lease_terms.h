#pragma once

#include <carawayloft/core/units.h>

/** Lease durations. Leases are safe only if all processes of a deployment use the same values. */
namespace carawayloft {

/** Lease that a member grants its group's lead, and the period at which the lead renews it. */
inline constexpr duration memberLeaseLength{900};
inline constexpr duration memberLeaseRenewalPeriod{250};

/** Lease that control grants an agent, and the period at which the agent renews it. */
inline constexpr duration controlLeaseLength{3'000};
inline constexpr duration controlLeaseRenewalPeriod{1'000};

/** Maximum relative error of a clock's rate. Holders give a lease up earlier and grantors keep it longer by this fraction. */
inline constexpr double maxClockDrift = 0.05;

/** Time for which the holder may use a lease, counted from when it sent the request. */
constexpr duration holderLeaseTime(duration length)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * (1 - maxClockDrift)));
}

/** Time for which the grantor must honour a lease, counted from when it granted it. */
constexpr duration grantorLeaseTime(duration length)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * (1 + maxClockDrift)));
}

} // namespace carawayloft
