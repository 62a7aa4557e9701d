#include <carawayloft/fleet/group_closure.h>

#include <gtest/gtest.h>

using namespace carawayloft;

namespace {

constexpr group_epoch epoch(6);
const time_point start(std::chrono::hours(1));

/** A group of a head and one member, both known to the registry. */
class GroupClosure : public ::testing::Test
{
protected:
    GroupClosure()
    {
        announce("head", 0, membership_state::Open);
        announce("member", 1, membership_state::Ready);
    }

    void announce(const std::string &id, std::uint32_t rank, membership_state state, std::int64_t startedAt = 1, group_epoch group = epoch)
    {
        now += duration(100);
        backend_record record;
        record.backend = backend_id(id);
        record.address = endpoint("127.0.0.1:" + std::to_string(9'000 + rank));
        record.startedAt = startedAt;
        record.announcement = ++m_announcements;
        record.membership = {group, rank, state};
        registry.step(backend_check_in{record}, now);
        closure.observe(registry);
    }

    const backend_registry::entry &entry(const std::string &id) const
    {
        return *registry.find(backend_id(id));
    }

    closure_proof proof() const
    {
        return closure.proofFor(epoch, &entry("head"));
    }

    void leave(const std::string &id, group_epoch group = epoch, std::int64_t startedAt = 1)
    {
        closure.recordLeft({backend_id(id), group, startedAt, now});
        closure.observe(registry);
    }

    backend_registry registry;
    group_closure closure;
    time_point now = start;

private:
    std::uint64_t m_announcements = 0;
};

} // namespace

TEST_F(GroupClosure, SilenceProvesNothingHoweverLong)
{
    registry.step(backend_failure{backend_id("head"), true}, now);
    closure.observe(registry);
    EXPECT_EQ(proof(), closure_proof::None);
    closure.recordAbandoned(epoch);
    EXPECT_FALSE(closure.isReleased(entry("member")));
}

TEST_F(GroupClosure, AnUnknownHeadMayServe)
{
    EXPECT_EQ(closure.proofFor(epoch, nullptr), closure_proof::None);
}

// Guards against an order to open that is carried out after the head has announced that it does not serve.
TEST_F(GroupClosure, NothingThatTheHeadAnnouncesProvesItsEnd)
{
    announce("head", 0, membership_state::Ready);
    EXPECT_EQ(proof(), closure_proof::None);
    announce("head", 0, membership_state::Ready);
    EXPECT_EQ(proof(), closure_proof::None);
    announce("head", 0, membership_state::None, 1, {});
    EXPECT_EQ(proof(), closure_proof::None);
}

TEST_F(GroupClosure, AHeadThatHasLeftProvesItsEndUntilItAnnouncesThatItServes)
{
    leave("head");
    EXPECT_EQ(proof(), closure_proof::Left);
    announce("head", 0, membership_state::Open);
    EXPECT_EQ(proof(), closure_proof::None);
}

// Guards against orders that are carried out late by the next run of a head.
TEST_F(GroupClosure, ALaterStartOfTheHeadProvesNothingUntilItsNewRunHasLeft)
{
    announce("head", 0, membership_state::None, 2, group_epoch());
    EXPECT_EQ(proof(), closure_proof::None);
    leave("head", epoch, 1); // Answered by the run before.
    EXPECT_EQ(proof(), closure_proof::None);
    leave("head", epoch, 2);
    EXPECT_EQ(proof(), closure_proof::Left);
}

// Guards against a group that is over and that the next run of its head joins and opens by late orders.
TEST_F(GroupClosure, AnEndIsRevokedWhenItsHeadStartsAgain)
{
    leave("head");
    closure.recordEnd(epoch, &entry("head"));
    EXPECT_TRUE(closure.hasEnded(epoch));
    announce("head", 0, membership_state::None, 2, group_epoch());
    EXPECT_FALSE(closure.hasEnded(epoch));
    leave("head", epoch, 2);
    closure.recordEnd(epoch, &entry("head"));
    closure.observe(registry);
    EXPECT_TRUE(closure.hasEnded(epoch));
}

TEST_F(GroupClosure, ALaterServerAtTheAddressOfTheHeadProvesItsEnd)
{
    announce("other", 0, membership_state::None, 2, group_epoch());
    EXPECT_EQ(proof(), closure_proof::Replaced);
}

TEST_F(GroupClosure, AMemberIsReleasedOnceItHasLeft)
{
    EXPECT_FALSE(closure.isReleased(entry("member")));
    leave("member");
    EXPECT_TRUE(closure.isReleased(entry("member")));
    announce("member", 1, membership_state::Ready); // A late join of the same epoch.
    EXPECT_FALSE(closure.isReleased(entry("member")));
    announce("member", 0, membership_state::None, 1, group_epoch());
    EXPECT_TRUE(closure.isReleased(entry("member")));
}

TEST_F(GroupClosure, AnEndIsRevokedWhileTheHeadAnnouncesThatItServes)
{
    announce("head", 0, membership_state::Ready);
    closure.recordEnd(epoch);
    EXPECT_TRUE(closure.hasEnded(epoch));
    announce("head", 0, membership_state::Open);
    EXPECT_FALSE(closure.hasEnded(epoch));
}

// Guards against a server that is made to join another group on the word of the head alone that its group is over.
TEST_F(GroupClosure, TheEndOfAGroupReleasesNoServerThatHasNotLeftIt)
{
    leave("head");
    closure.recordEnd(epoch, &entry("head"));
    EXPECT_TRUE(closure.isReleased(entry("head")));
    EXPECT_FALSE(closure.isReleased(entry("member")));
    leave("member");
    EXPECT_TRUE(closure.isReleased(entry("member")));
}

// Guards against servers that stand idle for up to an announcement after each change of leader: they are used from their answer on.
TEST_F(GroupClosure, AServerThatAnEarlierLeaderMayHaveOrderedIsReleasedByItsAnswerAlone)
{
    closure.setKnown({backend_id("spare")});
    announce("spare", 2, membership_state::None, 1, group_epoch());
    EXPECT_FALSE(closure.isReleased(entry("spare")));
    leave("spare", group_epoch(1));
    EXPECT_TRUE(closure.isReleased(entry("spare")));
}

// Guards against a run that this leader has seen start: it may have joined a group by a late order since it announced none.
TEST_F(GroupClosure, AServerThatHasStartedAgainIsReleasedByAnAnnouncementAfterItsAnswer)
{
    announce("spare", 2, membership_state::None, 1, group_epoch());
    announce("spare", 2, membership_state::None, 2, group_epoch());
    leave("spare", group_epoch(1), 2);
    EXPECT_FALSE(closure.isReleased(entry("spare")));
    announce("spare", 2, membership_state::None, 2, group_epoch());
    EXPECT_TRUE(closure.isReleased(entry("spare")));
}

TEST_F(GroupClosure, TheEndOfTheGroupOfAStandbyReleasesIt)
{
    const group_epoch standby(9);
    announce("member", 0, membership_state::Ready, 1, standby);
    EXPECT_FALSE(closure.isReleased(entry("member")));
    closure.recordEnd(standby);
    EXPECT_TRUE(closure.isReleased(entry("member")));
}

namespace {

/** The log has a later group of both servers, which they have not reported. */
class RecordedGroup : public GroupClosure
{
protected:
    RecordedGroup()
    {
        announce("head", 0, membership_state::Ready);
        closure.recordEnd(epoch);
        closure.setRecords({{later, service_id("s"), model_id("m"), {{backend_id("head"), 1}, {backend_id("member"), 1}}}});
        closure.observe(registry);
    }

    const group_epoch later{8};
};

} // namespace

TEST_F(RecordedGroup, BindsItsServersWhateverTheyLastReported)
{
    EXPECT_FALSE(closure.isReleased(entry("member")));
    EXPECT_TRUE(closure.isBoundByRecord(entry("member"), later));
    EXPECT_FALSE(closure.isBoundByRecord(entry("member"), epoch));
    announce("member", 0, membership_state::None, 1, {}); // Perhaps older than the order to join.
    EXPECT_FALSE(closure.isReleased(entry("member")));
}

TEST_F(RecordedGroup, ReleasesAServerThatHasLeftItOrJoinedALaterOne)
{
    leave("member", later);
    EXPECT_TRUE(closure.isReleased(entry("member")));
    EXPECT_FALSE(closure.isReleased(entry("head")));
}

// Guards against an order to join that is carried out late by the next run of a server.
TEST_F(RecordedGroup, BindsAServerThatHasStartedAgainUntilItsNewRunHasLeft)
{
    leave("member", later);
    announce("member", 0, membership_state::None, 2, {});
    EXPECT_FALSE(closure.isReleased(entry("member")));
    leave("member", later, 2);
    EXPECT_FALSE(closure.isReleased(entry("member"))) << "it may have joined another one since it announced this";
    announce("member", 0, membership_state::None, 2, {});
    EXPECT_TRUE(closure.isReleased(entry("member")));
}

TEST_F(RecordedGroup, BindsItsServersUntilTheyHaveLeftItAlsoOnceItHasEnded)
{
    closure.recordEnd(later);
    EXPECT_FALSE(closure.isReleased(entry("head")));
    EXPECT_FALSE(closure.isReleased(entry("member")));
    leave("member", later);
    EXPECT_TRUE(closure.isReleased(entry("member")));
}

// Guards against a late join of a group that is no longer in the log.
TEST_F(RecordedGroup, BindsItsServersUntilTheyHaveLeftItAlsoOnceItIsRemoved)
{
    closure.setRecords({});
    EXPECT_FALSE(closure.isReleased(entry("member")));
    leave("member", later);
    EXPECT_TRUE(closure.isReleased(entry("member")));
}

// Guards against a repeated order to join that reaches a head after its restart: the later run may serve the group.
TEST_F(RecordedGroup, ALaterStartOfItsHeadProvesNothingIfItReportsTheGroup)
{
    announce("head", 0, membership_state::Ready, 2, later);
    EXPECT_EQ(closure.proofFor(later, &entry("head")), closure_proof::None);
    leave("head", later, 2);
    EXPECT_EQ(closure.proofFor(later, &entry("head")), closure_proof::Left);
}
