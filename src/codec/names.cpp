#include "codec/names.h"

#include <array>

namespace carawayloft {

static constexpr std::array zoneStates{"serving", "leaving", "out", "arriving"};
static constexpr std::array groupStates{"active", "draining"};
static constexpr std::array serviceKinds{"model", "plain"};
static constexpr std::array planStates{"proposed", "confirmed", "done", "cancelled"};
static constexpr std::array stepKinds{"open_zone", "await_capacity", "stop_new_work", "drain_groups"};
static constexpr std::array claimStates{"running", "answered", "unknown"};
static constexpr std::array memberRoles{"voter", "learner", "half_voter", "retired"};

template<class Enum, std::size_t Size>
static const char *lookUp(const std::array<const char *, Size> &names, Enum value)
{
    const auto position = static_cast<std::size_t>(value);
    return position < Size ? names[position] : "invalid";
}

template<class Enum, std::size_t Size>
static std::optional<Enum> find(const std::array<const char *, Size> &names, const std::string &name)
{
    for (std::size_t i = 0; i < Size; ++i) {
        if (name == names[i]) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

const char *nameOf(zone_state state)
{
    return lookUp(zoneStates, state);
}

const char *nameOf(group_state state)
{
    return lookUp(groupStates, state);
}

const char *nameOf(service_kind kind)
{
    return lookUp(serviceKinds, kind);
}

const char *nameOf(plan_state state)
{
    return lookUp(planStates, state);
}

const char *nameOf(step_kind kind)
{
    return lookUp(stepKinds, kind);
}

const char *nameOf(claim_state state)
{
    return lookUp(claimStates, state);
}

const char *nameOf(member_role role)
{
    return lookUp(memberRoles, role);
}

std::optional<zone_state> zoneStateOf(const std::string &name)
{
    return find<zone_state>(zoneStates, name);
}

std::optional<service_kind> serviceKindOf(const std::string &name)
{
    return find<service_kind>(serviceKinds, name);
}

} // namespace carawayloft
