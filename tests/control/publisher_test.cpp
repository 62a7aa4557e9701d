#include <carawayloft/control/published_fleet.h>
#include <carawayloft/control/publisher.h>

#include "support/properties.h"

#include <set>

using namespace carawayloft;

static fleet_command zoneChange(std::uint64_t i)
{
    const zone_state state = i % 2 == 0 ? zone_state::Serving : zone_state::Arriving;
    return {command_id("c" + std::to_string(i)), "tariq", {}, put_zone{{availability_zone_id("z" + std::to_string(i % 5)), state}}};
}

/** A subscriber that loses messages, restarts and resubscribes must reach the leader's state, and its revision must never decrease. */
RC_GTEST_PROP(Publisher, SubscriberReachesTheLeadersStateAndItsRevisionNeverDecreases, ())
{
    fleet_state fleet;
    publisher publisher;
    published_fleet subscriber;
    const link_id link(1);
    revision last;
    const auto deliver = [&](const std::vector<publisher_output> &outputs, bool lossy) {
        for (const publisher_output &each : outputs) {
            const auto *out = std::get_if<send_publication>(&each);
            if (out == nullptr || (lossy && *rc::gen::inRange(0, 3) == 0)) {
                continue;
            }
            if (const auto *snapshot = std::get_if<publish_snapshot>(&out->message)) {
                subscriber.step(*snapshot, {});
            } else if (const auto *change = std::get_if<publish_change>(&out->message)) {
                const int copies = *rc::gen::inRange(1, 3);
                for (int i = 0; i < copies; ++i) {
                    subscriber.step(*change, {});
                }
            }
            RC_ASSERT(subscriber.state().at() >= last);
            last = subscriber.state().at();
        }
    };
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 1; i <= steps; ++i) {
        const revision before = fleet.at();
        const revision at(before.value() + 1 + static_cast<std::uint64_t>(*rc::gen::inRange(0, 3)));
        const fleet_command command = zoneChange(at.value());
        (void)fleet.apply(command, at);
        deliver(publisher.step(change_committed{publish_change{before, at, command}}, {}), true);
        if (*rc::gen::inRange(0, 4) == 0) {
            deliver(publisher.step(subscriber_joined{link, subscriber.state().at(), fleet}, {}), true);
        }
        if (*rc::gen::inRange(0, 10) == 0) {
            subscriber = published_fleet();
            last = revision();
        }
    }
    deliver(publisher.step(subscriber_joined{link, subscriber.state().at(), fleet}, {}), false);
    RC_ASSERT(subscriber.state().at() == fleet.at());
    RC_ASSERT(subscriber.state().snapshot().zones.size() == fleet.snapshot().zones.size());
    for (const auto &[zone, record] : fleet.zones()) {
        RC_ASSERT(subscriber.state().zones().at(zone).state == record.state);
    }
}

TEST(PublishedFleet, IsNotConfirmedBeforeTheFirstSnapshot)
{
    published_fleet subscriber;
    const auto gap = subscriber.step(publish_change{revision(0), revision(1), zoneChange(1)}, {});
    ASSERT_EQ(gap.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<resubscribe>(gap[0]));
    EXPECT_FALSE(subscriber.isConfirmed());
    const auto applied = subscriber.step(publish_snapshot{}, {});
    ASSERT_EQ(applied.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<send_to_control>(applied[0]));
    EXPECT_TRUE(std::holds_alternative<revision_in_force>(applied[1]));
    EXPECT_TRUE(subscriber.isConfirmed());
    const auto again = subscriber.step(publish_snapshot{}, {});
    ASSERT_EQ(again.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<revision_ignored>(again[0]));
}

/** Reference model: for each change, the set of subscribers that have not confirmed it. */
RC_GTEST_PROP(Publisher, ReportsAChangeWhenTheLastSubscriberConfirmedItOrLeft, ())
{
    fleet_state fleet;
    publisher publisher;
    std::map<std::uint64_t, std::uint64_t> confirmed;
    std::map<std::uint64_t, std::set<std::uint64_t>> waiting;
    std::uint64_t last = 0;
    for (int step = 0; step < 100; ++step) {
        const auto link = static_cast<std::uint64_t>(*rc::gen::inRange(1, 6));
        std::vector<publisher_output> out;
        switch (*rc::gen::inRange(0, 4)) {
        case 0: {
            const fleet_command command = zoneChange(last + 1);
            (void)fleet.apply(command, revision(last + 1));
            out = publisher.step(change_committed{publish_change{revision(last), revision(last + 1), command}}, {});
            ++last;
            for (const auto &[each, at] : confirmed) {
                waiting[last].insert(each);
            }
            break;
        }
        case 1: {
            const auto from = static_cast<std::uint64_t>(*rc::gen::inRange<std::uint64_t>(0, last + 1));
            out = publisher.step(subscriber_joined{link_id(link), revision(from), fleet}, {});
            confirmed[link] = from;
            for (auto &[at, links] : waiting) {
                at > from ? void(links.insert(link)) : void(links.erase(link));
            }
            break;
        }
        case 2:
            out = publisher.step(subscriber_left{link_id(link)}, {});
            confirmed.erase(link);
            for (auto &[at, links] : waiting) {
                links.erase(link);
            }
            break;
        default: {
            const auto at = static_cast<std::uint64_t>(*rc::gen::inRange<std::uint64_t>(0, last + 1));
            out = publisher.step(subscriber_confirmed{link_id(link), revision(at)}, {});
            for (auto &[each, links] : waiting) {
                if (confirmed.contains(link) && each <= at) {
                    links.erase(link);
                }
            }
        }
        }
        std::set<std::uint64_t> expected;
        for (const auto &[at, links] : waiting) {
            if (links.empty()) {
                expected.insert(at);
            }
        }
        std::erase_if(waiting, [](const auto &each) { return each.second.empty(); });
        std::set<std::uint64_t> reported;
        for (const publisher_output &each : out) {
            if (const auto *complete = std::get_if<publication_complete>(&each)) {
                reported.insert(complete->at.value());
            }
        }
        RC_ASSERT(reported == expected);
    }
}

TEST(Publisher, ReportsWhenAChangeIsInForceEverywhere)
{
    publisher publisher;
    fleet_state fleet;
    publisher.step(subscriber_joined{link_id(1), {}, fleet}, {});
    publisher.step(subscriber_joined{link_id(2), {}, fleet}, {});
    publisher.step(change_committed{publish_change{revision(0), revision(1), zoneChange(1)}}, time_point(duration(100)));
    EXPECT_TRUE(publisher.step(subscriber_confirmed{link_id(1), revision(1)}, time_point(duration(120))).empty());
    const auto complete = publisher.step(subscriber_confirmed{link_id(2), revision(1)}, time_point(duration(150)));
    ASSERT_EQ(complete.size(), 1U);
    EXPECT_EQ(std::get<publication_complete>(complete[0]).after, duration(50));
}
