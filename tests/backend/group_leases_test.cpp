#include <carawayloft/backend/group_leases.h>
#include <carawayloft/backend/lease_terms.h>
#include <carawayloft/backend/member_lease.h>

#include "support/properties.h"

using namespace carawayloft;

static const time_point start(std::chrono::hours(1));

namespace {

/** A host's own clock: it runs a little fast or slow. */
struct drifting_clock {
    double speed = 1;

    time_point at(duration real) const
    {
        return start + duration(static_cast<duration::rep>(static_cast<double>(real.count()) * speed));
    }
};

struct grant_in_flight {
    std::uint32_t lead = 0;
    member_lease_grant grant;
};

} // namespace

/**
 * Two leads claim the same member, in two groups; the member's assignment moves between them while
 * messages are late, lost and doubled, processes freeze and the member restarts without memory.
 * At no real time may both leads rely on the member.
 */
RC_GTEST_PROP(GroupLeases, NoTwoLeadsRelyOnOneMemberAtATime, ())
{
    const auto drift = [] { return 1 + static_cast<double>(*rc::gen::inRange(-400, 401)) / 10'000; };
    const drifting_clock memberClock{drift()};
    const drifting_clock leadClocks[] = {{drift()}, {drift()}};
    const host_id memberId("m");
    const host_id leadIds[] = {host_id("a"), host_id("b")};
    member_lease member(memberId, memberClock.at({}));
    group_leases leads[] = {group_leases(leadIds[0]), group_leases(leadIds[1])};
    std::vector<std::pair<std::uint32_t, member_lease_request>> asked;
    std::vector<grant_in_flight> granted;
    duration real{0};
    std::uint64_t epoch = 1;
    for (std::uint32_t i = 0; i < 2; ++i) {
        leads[i].step(led_group{group_id(i + 1), group_epoch(i + 1), {memberId}}, leadClocks[i].at(real));
    }
    member.step(member_readiness{true}, memberClock.at(real));
    bool reliedOnce = false;
    for (int step = 0; step < 300; ++step) {
        real += duration(*rc::gen::inRange(0, 120));
        const auto i = static_cast<std::uint32_t>(*rc::gen::inRange(0, 2));
        switch (*rc::gen::inRange(0, 12)) {
        case 0: {
            epoch = i + 1;
            member.step(member_assignment{group_id(epoch), group_epoch(epoch), leadIds[i]}, memberClock.at(real));
            break;
        }
        case 1:
            if (*rc::gen::inRange(0, 4) == 0) {
                // A restart forgets every promise.
                member = member_lease(memberId, memberClock.at(real));
                member.step(member_readiness{true}, memberClock.at(real));
                member.step(member_assignment{group_id(epoch), group_epoch(epoch), leadIds[epoch - 1]}, memberClock.at(real));
            }
            break;
        case 2:
        case 3:
        case 4:
            for (const group_leases_output &each : leads[i].step(lease_tick{}, leadClocks[i].at(real))) {
                if (const auto *ask = std::get_if<request_member_lease>(&each)) {
                    asked.emplace_back(i, ask->request);
                }
            }
            break;
        case 5:
        case 6:
        case 7:
            if (!asked.empty()) {
                const auto place = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, asked.size()));
                const auto [lead, request] = asked[static_cast<std::size_t>(place)];
                if (*rc::gen::inRange(0, 4) != 0) {
                    asked.erase(asked.begin() + place);
                }
                for (const member_lease_output &each : member.step(request, memberClock.at(real))) {
                    if (const auto *grant = std::get_if<member_lease_grant>(&each)) {
                        granted.push_back({lead, *grant});
                    }
                }
            }
            break;
        default:
            if (!granted.empty()) {
                const grant_in_flight grant = granted.back();
                if (*rc::gen::inRange(0, 4) != 0) {
                    granted.pop_back();
                }
                leads[grant.lead].step(grant.grant, leadClocks[grant.lead].at(real));
            }
            break;
        }
        const bool first = leads[0].isComplete(leadClocks[0].at(real));
        const bool second = leads[1].isComplete(leadClocks[1].at(real));
        RC_ASSERT(!(first && second));
        reliedOnce = reliedOnce || first || second;
    }
    RC_CLASSIFY(reliedOnce);
}

TEST(GroupLeases, AMemberIsFreeOnlyAfterItsOldLeadNoLongerReliesOnItHoweverTheirClocksDrift)
{
    const drifting_clock slow{0.96};
    const drifting_clock fast{1.04};
    const host_id memberId("m");
    group_leases oldLead(host_id("a"));
    oldLead.step(led_group{group_id(1), group_epoch(1), {memberId}}, slow.at({}));
    member_lease member(memberId, fast.at(duration(-10'000)));
    member.step(member_readiness{true}, fast.at({}));
    member.step(member_assignment{group_id(1), group_epoch(1), host_id("a")}, fast.at({}));
    oldLead.step(lease_tick{}, slow.at({}));
    const auto granted = member.step(member_lease_request{group_id(1), group_epoch(1), host_id("a"), 1}, fast.at({}));
    ASSERT_EQ(granted.size(), 1U);
    oldLead.step(std::get<member_lease_grant>(granted[0]), slow.at({}));
    ASSERT_TRUE(oldLead.isComplete(slow.at({})));
    member.step(member_assignment{group_id(2), group_epoch(2), host_id("b")}, fast.at({}));
    duration real{0};
    while (
        !std::holds_alternative<member_lease_grant>(member.step(member_lease_request{group_id(2), group_epoch(2), host_id("b"), 1}, fast.at(real)).front())) {
        real += duration(1);
    }
    EXPECT_FALSE(oldLead.isComplete(slow.at(real)));
}

TEST(GroupLeases, AMissingMemberSilencesTheGroup)
{
    group_leases lead(host_id("lead"));
    lead.step(led_group{group_id(1), group_epoch(1), {host_id("m1"), host_id("m2")}}, start);
    lead.step(lease_tick{}, start);
    lead.step(member_lease_grant{group_id(1), group_epoch(1), host_id("m1"), 1, memberLeaseLength}, start);
    EXPECT_FALSE(lead.isComplete(start));
    EXPECT_EQ(lead.missing(start), std::vector<host_id>{host_id("m2")});
    const auto out = lead.step(member_lease_grant{group_id(1), group_epoch(1), host_id("m2"), 1, memberLeaseLength}, start);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<group_complete>(out[0]));
    EXPECT_TRUE(lead.isComplete(start + holderLeaseTime(memberLeaseLength) - duration(1)));
    EXPECT_FALSE(lead.isComplete(start + holderLeaseTime(memberLeaseLength)));
}

TEST(GroupLeases, AGrantForAnOlderEpochCountsForNothing)
{
    group_leases lead(host_id("lead"));
    lead.step(led_group{group_id(1), group_epoch(1), {host_id("m1")}}, start);
    lead.step(lease_tick{}, start);
    lead.step(led_group{group_id(1), group_epoch(2), {host_id("m1")}}, start);
    lead.step(member_lease_grant{group_id(1), group_epoch(1), host_id("m1"), 1, memberLeaseLength}, start);
    EXPECT_FALSE(lead.isComplete(start));
}

TEST(MemberLease, SaysNothingRightAfterARestart)
{
    member_lease member(host_id("m"), start);
    member.step(member_assignment{group_id(1), group_epoch(1), host_id("a")}, start);
    member.step(member_readiness{true}, start);
    const auto early = member.step(member_lease_request{group_id(1), group_epoch(1), host_id("a"), 1}, start + duration(10));
    ASSERT_EQ(early.size(), 1U);
    EXPECT_EQ(std::get<member_lease_refused>(early[0]).reason, lease_refusal::JustStarted);
    const auto later = member.step(member_lease_request{group_id(1), group_epoch(1), host_id("a"), 2}, start + grantorLeaseTime(memberLeaseLength));
    ASSERT_EQ(later.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<member_lease_grant>(later[0]));
}
