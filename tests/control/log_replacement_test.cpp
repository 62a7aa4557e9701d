#include "support/replaced_fleet.h"

#include <array>
#include <ostream>

using namespace carawayloft;
using test_support::replaced_fleet;
using test_support::tolerated_losses;

namespace {

/** Zones of the first machines, and what the fleet bears. */
struct installation {
    std::vector<std::string> zones;
    tolerated_losses tolerated;
};

enum class fleet_event : std::uint8_t {
    AddSuccessor,
    Remove,
    Wipe,
    Kill,
    Freeze,
    CutOff,
    CutOffZone,
    Restore,
    PowerOff,
    Transfer,
    Compact,
    Propose,
    Read,
    Pass,
    Reorder,
    Recover,
};

struct fleet_action {
    fleet_event event = fleet_event::Pass;
    std::uint32_t machine = 0;
    std::uint64_t choice = 0;
};

/** In the order of fleet_event. */
constexpr std::array eventNames{"add successor",
                                "remove",
                                "wipe",
                                "kill",
                                "freeze",
                                "cut off",
                                "cut off zone",
                                "restore",
                                "power off",
                                "transfer",
                                "compact",
                                "propose",
                                "read",
                                "pass",
                                "reorder",
                                "recover"};

/** For the schedules that RapidCheck prints. */
std::ostream &operator<<(std::ostream &out, const fleet_action &action)
{
    return out << eventNames.at(static_cast<std::size_t>(action.event)) << ' ' << action.machine << ' ' << action.choice;
}

class LogReplacement : public ::testing::TestWithParam<installation>
{
};

} // namespace

/** Messages that are under way arrive out of order and some of them twice. */
static void reorder(replaced_fleet &fleet, std::uint64_t choice)
{
    for (std::uint64_t step = 0; step < 40; ++step) {
        choice = choice * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        fleet.log().pass(step % 5);
        fleet.log().tick(static_cast<std::uint32_t>((choice >> 33U) % fleet.size()));
        fleet.log().deliver(choice >> 40U, step % 10 == 0);
    }
}

static void act(replaced_fleet &fleet, const fleet_action &chosen)
{
    const std::uint32_t i = chosen.machine % fleet.size();
    switch (chosen.event) {
    case fleet_event::AddSuccessor:
        fleet.addSuccessor(i);
        return;
    case fleet_event::Remove:
        fleet.remove(i);
        return;
    case fleet_event::Wipe:
        fleet.wipe(i);
        return;
    case fleet_event::Kill:
        fleet.kill(i);
        return;
    case fleet_event::Freeze:
        fleet.freeze(i);
        return;
    case fleet_event::CutOff:
        fleet.cutOff(i);
        return;
    case fleet_event::CutOffZone:
        fleet.cutOffZone(i);
        return;
    case fleet_event::Restore:
        fleet.restore(i);
        return;
    case fleet_event::PowerOff:
        fleet.powerOff();
        return;
    case fleet_event::Transfer:
        fleet.log().transferLeadership(i);
        return;
    case fleet_event::Compact:
        fleet.log().compact(i);
        return;
    case fleet_event::Propose:
        fleet.log().propose(i);
        return;
    case fleet_event::Read:
        fleet.log().read(i);
        return;
    case fleet_event::Pass:
        fleet.log().runFor(duration(static_cast<duration::rep>(chosen.choice % 5'000)));
        return;
    case fleet_event::Reorder:
        reorder(fleet, chosen.choice);
        return;
    case fleet_event::Recover:
        RC_ASSERT(fleet.recovers());
        return;
    }
}

static rc::Gen<std::vector<fleet_action>> actions(std::size_t count)
{
    const auto event = rc::gen::weightedElement<fleet_event>({{12, fleet_event::AddSuccessor},
                                                              {12, fleet_event::Remove},
                                                              {8, fleet_event::Wipe},
                                                              {4, fleet_event::Kill},
                                                              {2, fleet_event::Freeze},
                                                              {2, fleet_event::CutOff},
                                                              {2, fleet_event::CutOffZone},
                                                              {12, fleet_event::Restore},
                                                              {3, fleet_event::PowerOff},
                                                              {3, fleet_event::Transfer},
                                                              {4, fleet_event::Compact},
                                                              {8, fleet_event::Propose},
                                                              {4, fleet_event::Read},
                                                              {14, fleet_event::Pass},
                                                              {6, fleet_event::Reorder},
                                                              {6, fleet_event::Recover}});
    const auto one = rc::gen::build<fleet_action>(rc::gen::set(&fleet_action::event, event),
                                                  rc::gen::set(&fleet_action::machine, rc::gen::inRange<std::uint32_t>(0, 1'000)),
                                                  rc::gen::set(&fleet_action::choice, rc::gen::inRange<std::uint64_t>(0, 1'000'000'000)));
    return rc::gen::container<std::vector<fleet_action>>(count, one);
}

/**
 * Guards against a replaced machine whose vote still counts when it goes: with one more machine lost, within what the
 * installation is to bear, no replica led any more. Machines are replaced, removed, wiped and cut off in zones.
 */
TEST_P(LogReplacement, KeepsWhatWasAcceptedAndLeadsAgainWithinTheToleratedLosses)
{
    const installation &given = GetParam();
    const bool holds = rc::check("replaced machines and tolerated losses", [&] {
        const auto chosen = *actions(60);
        replaced_fleet fleet(given.zones, given.tolerated);
        RC_ASSERT(fleet.recovers());
        for (const fleet_action &each : chosen) {
            act(fleet, each);
        }
        RC_ASSERT(fleet.recovers());
        fleet.restoreAll();
        RC_ASSERT(fleet.recovers());
    });
    EXPECT_TRUE(holds);
}

static const tolerated_losses oneMachine{1};
static const tolerated_losses twoMachines{2};

// A zone was lost while a vote moved in it. No vote moved in the other zones until the leader had waited for 3 s, and their machines might go before.
TEST(LogReplacementSchedule, AVoteThatIsStuckInALostZoneDoesNotHoldBackTheOthers)
{
    replaced_fleet fleet({"a", "b", "c"}, oneMachine);
    ASSERT_TRUE(fleet.recovers());
    const std::vector<fleet_action> schedule{{fleet_event::AddSuccessor, 0, 0},
                                             {fleet_event::Reorder, 0, 14},
                                             {fleet_event::CutOff, 0, 0},
                                             {fleet_event::Remove, 3, 0},
                                             {fleet_event::AddSuccessor, 1, 0},
                                             {fleet_event::Reorder, 0, 0},
                                             {fleet_event::Pass, 0, 871},
                                             {fleet_event::Transfer, 2, 0},
                                             {fleet_event::Recover, 0, 0},
                                             {fleet_event::Recover, 0, 0},
                                             {fleet_event::Recover, 0, 0},
                                             {fleet_event::Pass, 0, 2'991},
                                             {fleet_event::Remove, 1, 0}};
    for (const fleet_action &each : schedule) {
        act(fleet, each);
    }
    EXPECT_TRUE(fleet.recovers());
}

INSTANTIATE_TEST_SUITE_P(Zones,
                         LogReplacement,
                         ::testing::Values(installation{{"a", "b", "c"}, oneMachine},
                                           installation{{"a", "b", "c", "d", "e"}, twoMachines},
                                           installation{{"a", "b", "c", "a", "b"}, twoMachines},
                                           installation{{"a", "b", "c", "d", "a"}, twoMachines}),
                         [](const auto &each) { return "Layout" + std::to_string(each.index + 1); });
