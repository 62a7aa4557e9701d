#pragma once

#include <carawayloft/core/units.h>

/** Lengths that leases rely on; every process of a deployment uses the same. */
namespace carawayloft {

/** Lease of a member to its group's lead, and how often the lead asks for it again. */
inline constexpr duration memberLeaseLength{900};
inline constexpr duration memberLeaseRenewalPeriod{250};

/** Lease of control to an agent, and how often the agent asks for it again. */
inline constexpr duration controlLeaseLength{3'000};
inline constexpr duration controlLeaseRenewalPeriod{1'000};

/** Clocks may differ in speed by this share; holders stop earlier, grantors wait longer. */
inline constexpr double maxClockDrift = 0.05;

/** How long the holder of a lease may rely on it, from the moment it asked. */
constexpr duration holderLeaseTime(duration length)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * (1 - maxClockDrift)));
}

/** How long the grantor of a lease must keep to it, from the moment it granted. */
constexpr duration grantorLeaseTime(duration length)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * (1 + maxClockDrift)));
}

} // namespace carawayloft
