#include "support/properties.h"
#include "support/replica_pair.h"

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

constexpr std::size_t leader = replica_pair::oldLeader;
constexpr std::size_t successor = replica_pair::newLeader;

/** An order that gets no answer and is carried out after a while. */
replica_pair::order_fate lateBy(duration delay)
{
    return {false, false, delay};
}

/** An order that is never carried out. */
constexpr replica_pair::order_fate lost{false, false, std::nullopt};

/** Two groups of three servers and one spare. */
class LateOrders : public ::testing::Test
{
protected:
    LateOrders()
    {
        for (int i = 0; i < 7; ++i) {
            replicas.add("e" + std::to_string(i));
        }
    }

    /** The next order that @p matches goes the way of @p fate; all later ones are carried out and answered. */
    void once(std::function<bool(const engine_order &)> matches, replica_pair::order_fate fate)
    {
        replicas.fateOfOrder = [this, matches = std::move(matches), fate](const send_engine_order &order) {
            if (m_used || !matches(order.what)) {
                return replica_pair::order_fate();
            }
            m_used = true;
            return fate;
        };
    }

    template<class Order>
    void once(replica_pair::order_fate fate)
    {
        once([](const engine_order &order) { return std::holds_alternative<Order>(order); }, fate);
    }

    engine_group firstGroup(std::size_t replica = leader) const
    {
        return replicas.groups(replica).front();
    }

    replica_pair replicas;

private:
    bool m_used = false;
};

} // namespace

// Guards against a head that a late order opens again after it has closed: it joined another group while its own was open.
TEST_F(LateOrders, AnOrderToOpenThatIsCarriedOutAfterTheHeadHasClosedOpensNothing)
{
    once<open_group>({true, false, duration(3'000)});
    replicas.lead(leader, 3);
    replicas.settle(leader, 5);
    const engine_group before = firstGroup();
    replicas.restart(before.members.back());
    replicas.fateOfOrder = [](const send_engine_order &order) { return std::holds_alternative<join_group>(order.what) ? lost : replica_pair::order_fate(); };
    replicas.settle(leader, 15); // The head is chosen for another group, and the late order is carried out.
    EXPECT_FALSE(replicas.engines.at(before.head()).serves(before.epoch));
    replicas.fateOfOrder = [](const send_engine_order &) { return replica_pair::order_fate(); };
    replicas.settle(leader, 40);
    EXPECT_EQ(replicas.violations, 0U);
    EXPECT_EQ(replicas.openHeads(), replicas.groups(leader).size());
}

// Guards against a member that a late order takes back into the group that it has left, whose head cannot be reached and serves.
TEST_F(LateOrders, AnOrderToJoinThatIsCarriedOutAfterTheMemberHasLeftChangesNothing)
{
    replicas.fateOfOrder = [](const send_engine_order &order) {
        return std::holds_alternative<join_group>(order.what) ? replica_pair::order_fate{true, false, duration(4'000)} : replica_pair::order_fate();
    };
    replicas.lead(leader, 3);
    replicas.settle(leader, 10);
    ASSERT_EQ(replicas.openHeads(), 2U);
    const engine_group before = firstGroup();
    replicas.engines.at(before.head()).takesOrders = false; // It goes on, and its members have to leave it.
    replicas.restart(before.members.back());
    replicas.fateOfOrder = [](const send_engine_order &order) { return std::holds_alternative<join_group>(order.what) ? lost : replica_pair::order_fate(); };
    replicas.settle(leader, 15); // The others have left it, and the late orders are carried out.
    for (const backend_id &member : before.members) {
        EXPECT_TRUE(member == before.head() || replicas.engines.at(member).record.membership.epoch != before.epoch) << member.value();
    }
    replicas.fateOfOrder = [](const send_engine_order &) { return replica_pair::order_fate(); };
    replicas.settle(leader, 40);
    EXPECT_EQ(replicas.violations, 0U);
}

// Guards against a restart that is taken for the end of a group: late orders take the next run of its head back into it and open it.
TEST_F(LateOrders, AHeadThatStartsAgainIsNotUsedBeforeItRefusesOrdersToItsEarlierRun)
{
    replicas.fateOfOrder = [](const send_engine_order &order) {
        const bool isLate = std::holds_alternative<join_group>(order.what) || std::holds_alternative<open_group>(order.what);
        return isLate ? replica_pair::order_fate{true, false, duration(4'000)} : replica_pair::order_fate();
    };
    replicas.lead(leader, 3);
    replicas.settle(leader, 10);
    ASSERT_EQ(replicas.openHeads(), 2U);
    const engine_group before = firstGroup();
    replicas.fateOfOrder = [](const send_engine_order &order) { return std::holds_alternative<join_group>(order.what) ? lost : replica_pair::order_fate(); };
    replicas.restart(before.head());
    replicas.settle(leader, 15);
    EXPECT_FALSE(replicas.engines.at(before.head()).serves(before.epoch));
    replicas.fateOfOrder = [](const send_engine_order &) { return replica_pair::order_fate(); };
    replicas.settle(leader, 40);
    EXPECT_EQ(replicas.violations, 0U);
    EXPECT_EQ(replicas.openHeads(), replicas.groups(leader).size());
}

// Guards against a member that goes from one group straight into another one, on control's word that the first one is over.
TEST_F(LateOrders, AMemberLeavesItsGroupBeforeItJoinsAnotherOne)
{
    replicas.lead(leader, 3);
    replicas.settle(leader, 10);
    const engine_group before = firstGroup();
    replicas.restart(before.members.back());
    replicas.settle(leader, 40);
    EXPECT_NE(firstGroup().epoch, before.epoch);
    EXPECT_EQ(replicas.openHeads(), 2U);
    EXPECT_EQ(replicas.directMoves, 0U);
}

// Guards against a group that a new leader knows nothing of, since its head has left it, while members have not: they count as free.
TEST_F(LateOrders, AGroupStaysInTheLogUntilItsMembersHaveLeftIt)
{
    replicas.lead(leader, 3);
    replicas.settle(leader, 10);
    const engine_group before = firstGroup();
    const backend_id member = before.members[1];
    replicas.fateOfOrder = [&](const send_engine_order &order) { return order.backend == member ? lost : replica_pair::order_fate(); };
    replicas.restart(before.members.back());
    replicas.settle(leader, 10);
    EXPECT_FALSE(replicas.engines.at(before.head()).serves(before.epoch));
    EXPECT_TRUE(replicas.log.engineGroups().contains(before.epoch));
    replicas.fateOfOrder = [](const send_engine_order &) { return replica_pair::order_fate(); };
    replicas.settle(leader, 40);
    EXPECT_FALSE(replicas.log.engineGroups().contains(before.epoch));
    EXPECT_EQ(replicas.directMoves, 0U);
}

// Guards against servers that stay bound to a group that never opened, since nobody tells them to leave it.
TEST_F(LateOrders, ServersOfAFormationThatFailedLeaveItAndAreUsedAgain)
{
    const backend_id silent = replicas.engines.begin()->first;
    replicas.fateOfOrder = [&](const send_engine_order &order) { return order.backend == silent ? lost : replica_pair::order_fate(); };
    replicas.lead(leader, 3);
    replicas.settle(leader, 35); // Longer than a formation may take; the spare takes the place of the silent server then.
    EXPECT_EQ(replicas.openHeads(), 2U);
    EXPECT_EQ(replicas.directMoves, 0U);
}

// Guards against servers that are never free, since each answer to an order to leave comes after that order was sent again.
TEST_F(LateOrders, TheAnswerToAnySendingOfAnOrderToLeaveCounts)
{
    replicas.lead(leader, 3);
    replicas.settle(leader, 10);
    const group_epoch before = firstGroup().epoch;
    replicas.fateOfOrder = [](const send_engine_order &order) {
        const bool isLeave = std::holds_alternative<leave_group>(order.what);
        return isLeave ? replica_pair::order_fate{false, false, duration(700), true} : replica_pair::order_fate();
    };
    replicas.restart(firstGroup().members.back());
    replicas.settle(leader, 40);
    EXPECT_NE(firstGroup().epoch, before);
    EXPECT_EQ(replicas.openHeads(), 2U);
    EXPECT_EQ(replicas.directMoves, 0U);
}

// Guards against an update in which replicas of an earlier build, which number orders by their term alone, are refused by all engines.
TEST_F(LateOrders, ReplicasOfAnEarlierBuildAndOfThisOneLeadAfterEachOther)
{
    replicas.numbersByTerm[successor] = true;
    std::uint64_t term = 2;
    for (int i = 0; i < 3; ++i) {
        for (const std::size_t replica : {leader, successor}) {
            replicas.lead(replica, ++term);
            replicas.settle(replica, 20);
            ASSERT_EQ(replicas.groups(replica).size(), 2U);
            const group_epoch before = firstGroup(replica).epoch;
            replicas.restart(firstGroup(replica).members.back()); // A reason for orders of each kind.
            replicas.settle(replica, 40);
            EXPECT_EQ(replicas.openHeads(), 2U) << "term " << term;
            EXPECT_NE(firstGroup(replica).epoch, before);
            replicas.stepDown(replica, term);
        }
    }
    EXPECT_EQ(replicas.violations, 0U);
}

namespace {

/** What becomes of an order: half of them are answered; the others are lost, carried out unanswered, late, doubled, or overtaken by others before they are
 * answered. */
replica_pair::order_fate randomFate()
{
    const duration late(*rc::gen::inRange(2'000, 12'000));
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        return {false, false, std::nullopt};
    case 1:
        return {true, false, std::nullopt};
    case 2:
        return {true, false, late};
    case 3:
    case 4:
        return lateBy(late);
    case 5:
        return {false, false, duration(*rc::gen::inRange(50, 400)), true};
    default:
        return {};
    }
}

/** Random losses, restarts, cuts, leaders and orders. */
class late_orders_schedule
{
public:
    late_orders_schedule()
    {
        for (int i = 0; i < 7; ++i) {
            replicas.add("e" + std::to_string(i));
        }
        replicas.lead(m_leader, ++m_term);
        replicas.fateOfOrder = [](const send_engine_order &) { return randomFate(); };
    }

    void step()
    {
        const auto pick = *rc::gen::inRange<std::size_t>(0, replicas.engines.size());
        const backend_id id = std::next(replicas.engines.begin(), static_cast<std::ptrdiff_t>(pick))->first;
        switch (*rc::gen::inRange(0, 16)) {
        case 0:
            replicas.mirrors = !replicas.mirrors;
            break;
        case 1:
            m_late[id] = replicas.announce(id);
            break;
        case 2:
            if (m_late.contains(id)) {
                replicas.receive(m_leader, m_late.at(id));
            }
            break;
        case 3:
            replicas.restart(id);
            replicas.receive(m_leader, replicas.announce(id));
            break;
        case 4:
            replicas.engines.at(id).takesOrders = !replicas.engines.at(id).takesOrders;
            break;
        case 5:
            changeLeader();
            break;
        case 6:
            replicas.tick(m_leader, 5);
            break;
        default:
            replicas.receive(m_leader, replicas.announce(id));
            replicas.settle(m_leader, *rc::gen::inRange(0, 4));
            break;
        }
    }

    /** All orders are answered and all servers heard for longer than any timeout. */
    void calm()
    {
        replicas.mirrors = true;
        replicas.fateOfOrder = [](const send_engine_order &) { return replica_pair::order_fate(); };
        for (auto &[id, engine] : replicas.engines) {
            engine.takesOrders = true;
        }
        replicas.settle(m_leader, 250);
    }

    std::size_t openGroups() const
    {
        return replicas.groups(m_leader).size();
    }

    replica_pair replicas{makeEngine(3, 2)};

private:
    /** The leader goes on while it holds the lease, commits and mirrors nothing, and is followed by the other one. */
    void changeLeader()
    {
        replicas.cutReplica = m_leader;
        replicas.settle(m_leader, *rc::gen::inRange(0, 3));
        replicas.loseLease(m_leader);
        replicas.lead(1 - m_leader, ++m_term);
        replicas.tick(1 - m_leader, *rc::gen::inRange(0, 15));
        replicas.cutReplica.reset();
        replicas.stepDown(m_leader, m_term);
        m_leader = 1 - m_leader;
    }

    std::map<backend_id, backend_record> m_late;
    std::size_t m_leader = leader;
    std::uint64_t m_term = 1;
};

void checkSchedule()
{
    late_orders_schedule schedule;
    for (int i = 0; i < 150; ++i) {
        schedule.step();
    }
    RC_ASSERT(schedule.replicas.violations == 0U);
    schedule.calm();
    RC_ASSERT(schedule.replicas.violations == 0U);
    RC_ASSERT(schedule.replicas.openHeads() >= 2U);
    RC_ASSERT(schedule.replicas.openHeads() == schedule.openGroups());
    RC_ASSERT(schedule.replicas.log.engineGroups().size() == schedule.openGroups());
}

} // namespace

// Guards against orders that are late, doubled or lost, at any member and before or after its restart or a change of leader.
TEST(LateOrdersProperty, NoServerJoinsAnotherGroupWhileTheHeadOfItsGroupServes)
{
    EXPECT_TRUE(rc::check(checkSchedule));
}
