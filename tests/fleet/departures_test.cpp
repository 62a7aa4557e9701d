#include <carawayloft/fleet/departures.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static const wall_time now(std::chrono::milliseconds(5'000));

static backend_check_in makeCheckIn(backend_state state, std::int64_t startedAt)
{
    backend_record record;
    record.backend = backend_id("a");
    record.service = service_id("records");
    record.address = endpoint("127.0.0.1:9000");
    record.startedAt = startedAt;
    record.announcement = 1;
    record.state = state;
    return {record};
}

TEST(Departures, OnlyADrainingServerAnnouncesItsDeparture)
{
    EXPECT_FALSE(announcedDeparture(makeCheckIn(backend_state::Ready, 1)));
    EXPECT_EQ(announcedDeparture(makeCheckIn(backend_state::Draining, 7)), (departure_record{backend_id("a"), 7}));
}

TEST(Departures, ADepartureByNameIsAboutTheKnownRun)
{
    backend_registry registry;
    registry.step(makeCheckIn(backend_state::Ready, 7), time_point());
    EXPECT_EQ(announcedDeparture(backend_departure{backend_id("a")}, registry, now), (departure_record{backend_id("a"), 7}));
}

TEST(Departures, ADepartureOfAnUnknownServerCoversEveryRunUntilNow)
{
    EXPECT_EQ(announcedDeparture(backend_departure{backend_id("a")}, backend_registry(), now), (departure_record{backend_id("a"), 5'000}));
}
