#include <carawayloft/fleet/backend_registry.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace carawayloft;

static const time_point start(std::chrono::hours(1));

static backend_check_in makeCheckIn(const std::string &id, std::int64_t startedAt, std::uint64_t number, const std::string &address = "127.0.0.1:9000")
{
    backend_record record;
    record.backend = backend_id(id);
    record.service = service_id("records");
    record.address = endpoint(address);
    record.startedAt = startedAt;
    record.announcement = number;
    return {record};
}

static backend_check_in draining(backend_check_in announcement)
{
    announcement.record.state = backend_state::Draining;
    return announcement;
}

TEST(BackendRegistry, IgnoresAnOutdatedAnnouncement)
{
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    registry.step(draining(makeCheckIn("a", 1, 3)), start);
    EXPECT_TRUE(registry.step(makeCheckIn("a", 1, 2), start).empty());
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Draining);
}

TEST(BackendRegistry, ARestartUnderTheSameIdReplacesTheRecord)
{
    backend_registry registry;
    registry.step(draining(makeCheckIn("a", 1, 9)), start);
    registry.step(makeCheckIn("a", 2, 1), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Ready);
    EXPECT_TRUE(registry.step(makeCheckIn("a", 1, 10), start).empty());
    EXPECT_EQ(registry.find(backend_id("a"))->record.startedAt, 2);
}

TEST(BackendRegistry, IgnoresADelayedAnnouncementOfADepartedServer)
{
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    registry.step(backend_departure{backend_id("a")}, start);
    registry.step(makeCheckIn("a", 1, 5), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Left);
}

TEST(BackendRegistry, AnAnnouncementMakesALostServerReady)
{
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    registry.step(backend_failure{backend_id("a"), true}, start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Lost);
    registry.step(makeCheckIn("a", 1, 2), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Ready);
    EXPECT_FALSE(registry.find(backend_id("a"))->confirmedDown);
}

TEST(BackendRegistry, TheLatestStartAtAnAddressSupersedesEarlierOnes)
{
    backend_registry registry;
    registry.step(makeCheckIn("old", 1, 1), start);
    registry.step(makeCheckIn("new", 2, 1), start);
    EXPECT_EQ(registry.find(backend_id("old"))->record.state, backend_state::Left);
    EXPECT_TRUE(registry.step(makeCheckIn("old", 1, 2), start).empty());
    EXPECT_EQ(registry.find(backend_id("old"))->record.state, backend_state::Left);
    EXPECT_EQ(registry.find(backend_id("new"))->record.state, backend_state::Ready);
}

TEST(BackendRegistry, IgnoresADelayedAnnouncementOfAnEarlierStartAtTheAddress)
{
    backend_registry registry;
    registry.step(makeCheckIn("new", 2, 1), start);
    EXPECT_TRUE(registry.step(makeCheckIn("old", 1, 7), start).empty());
    EXPECT_EQ(registry.find(backend_id("old")), nullptr);
}

TEST(BackendRegistry, KeepsTheLoadedModelUntilARestart)
{
    backend_registry registry;
    backend_check_in first = makeCheckIn("a", 1, 1);
    first.record.loaded = model_id("large");
    registry.step(first, start);
    registry.step(makeCheckIn("a", 1, 2), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.loaded, model_id("large"));
    registry.step(makeCheckIn("a", 2, 1), start);
    EXPECT_TRUE(registry.find(backend_id("a"))->record.loaded.value().empty());
}

TEST(BackendRegistry, ALaterAnnouncementReplacesAMirroredRecord)
{
    backend_registry registry;
    registry.step(mirrored_backend_record{draining(makeCheckIn("a", 1, 4)).record}, start);
    EXPECT_TRUE(registry.step(makeCheckIn("a", 1, 3), start).empty());
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Draining);
    registry.step(makeCheckIn("a", 1, 5), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Ready);
}

TEST(BackendRegistry, RemovesAnExpiredRecord)
{
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    registry.step(backend_departure{backend_id("a")}, start);
    registry.step(backend_record_expired{backend_id("a")}, start);
    EXPECT_EQ(registry.find(backend_id("a")), nullptr);
}

TEST(BackendRegistry, KeepsTheLimitOfTheLatestAnswerUntilTheServerRestarts)
{
    const backend_id id("a");
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    EXPECT_EQ(registry.step(request_limit_named{id, 6.0, start}, start).size(), 1U);
    registry.step(makeCheckIn("a", 1, 2), start);
    EXPECT_EQ(registry.find(id)->record.requestLimit, 6.0);
    EXPECT_TRUE(registry.step(request_limit_named{id, 0.0, start - duration(50)}, start).empty());
    EXPECT_TRUE(registry.step(request_limit_named{id, 6.1, start + duration(10)}, start).empty());
    EXPECT_EQ(registry.step(request_limit_named{id, 0.0, start + duration(20)}, start).size(), 1U);
    registry.step(request_limit_named{id, 6.0, start + duration(30)}, start);
    registry.step(makeCheckIn("a", 2, 1), start);
    EXPECT_EQ(registry.find(id)->record.requestLimit, 0.0);
}

TEST(BackendRegistry, TellsACrashFromALeave)
{
    const auto crashed = [](const std::vector<backend_record_changed> &changes) {
        return std::any_of(changes.begin(), changes.end(), [](const auto &each) { return each.crashed; });
    };
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    EXPECT_TRUE(crashed(registry.step(makeCheckIn("b", 2, 1), start))); // At the address of a.
    EXPECT_TRUE(crashed(registry.step(makeCheckIn("b", 3, 1), start))); // Under the same id.
    EXPECT_FALSE(crashed(registry.step(backend_failure{backend_id("b"), false}, start)));
    EXPECT_TRUE(crashed(registry.step(backend_failure{backend_id("b"), true}, start)));
    EXPECT_FALSE(crashed(registry.step(backend_failure{backend_id("b"), true}, start)));
    registry.step(draining(makeCheckIn("c", 1, 1, "127.0.0.1:9001")), start);
    EXPECT_FALSE(crashed(registry.step(makeCheckIn("d", 2, 1, "127.0.0.1:9001"), start)));
    EXPECT_FALSE(crashed(registry.step(backend_departure{backend_id("d")}, start)));
}

TEST(BackendRegistry, AServerThatSaidInAnAnswerThatItLeavesStaysDrainingWhateverItAnnounces)
{
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    EXPECT_EQ(registry.step(backend_leaving{backend_id("a"), 1}, start).size(), 1U);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Draining);
    EXPECT_TRUE(registry.step(makeCheckIn("a", 1, 2), start).empty());
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Draining);
}

TEST(BackendRegistry, ALaterStartIsNotTheServerThatSaidItLeaves)
{
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 1), start);
    registry.step(backend_leaving{backend_id("a"), 1}, start);
    registry.step(makeCheckIn("a", 2, 1), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Ready);
    EXPECT_TRUE(registry.step(backend_leaving{backend_id("a"), 1}, start).empty());
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Ready);
}

TEST(BackendRegistry, ALateAnnouncementDoesNotUndoADepartureThatTheLogRemembers)
{
    backend_registry registry;
    registry.step(departures_recorded{{{backend_id("a"), 1}}}, start);
    registry.step(makeCheckIn("a", 1, 5), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Draining);
    registry.step(makeCheckIn("a", 2, 1), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Ready);
}

TEST(BackendRegistry, AMirroredRecordDoesNotUndoADepartureThatTheLogRemembers)
{
    backend_registry registry;
    registry.step(departures_recorded{{{backend_id("a"), 1}}}, start);
    registry.step(mirrored_backend_record{makeCheckIn("a", 1, 5).record}, start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Draining);
}

TEST(BackendRegistry, ADepartureThatIsRecordedLaterTakesWorkFromAReadyServer)
{
    backend_registry registry;
    registry.step(makeCheckIn("a", 1, 5), start);
    EXPECT_EQ(registry.step(departures_recorded{{{backend_id("a"), 1}}}, start).size(), 1U);
    EXPECT_EQ(registry.find(backend_id("a"))->record.state, backend_state::Draining);
    EXPECT_TRUE(registry.step(departures_recorded{{{backend_id("a"), 1}}}, start).empty());
}

TEST(BackendRegistry, AnAnnouncementWithoutAFabricDomainKeepsTheKnownOne)
{
    backend_registry registry;
    backend_check_in announced = makeCheckIn("a", 1, 1);
    announced.record.fabricDomain = fabric_domain_id("d1");
    registry.step(announced, start);
    registry.step(makeCheckIn("a", 1, 2), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.fabricDomain, fabric_domain_id("d1"));
    registry.step(makeCheckIn("a", 2, 1), start);
    EXPECT_EQ(registry.find(backend_id("a"))->record.fabricDomain, fabric_domain_id()) << "another run may be elsewhere";
}
