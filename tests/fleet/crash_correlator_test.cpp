#include <carawayloft/fleet/crash_correlator.h>

#include <gtest/gtest.h>

using namespace carawayloft;

namespace {

const service_id service("drafting-models");

service_trait subjectOf(const std::string &trait)
{
    return {service, request_trait(trait)};
}

/** A correlator and crashes of servers whose requests it is told of. */
class CrashCorrelator : public ::testing::Test
{
protected:
    using traits = std::vector<std::string>;

    void step(const crash_correlator_input &in)
    {
        for (const crash_correlator_output &each : correlator.step(in, now)) {
            if (const auto *proposed = std::get_if<quarantine_proposed>(&each)) {
                quarantined.push_back(proposed->quarantine.trait.value());
                agreed.insert({proposed->quarantine.service, proposed->quarantine.trait});
            } else if (std::holds_alternative<quarantine_expired>(each)) {
                ++expired;
            }
        }
    }

    void expose(const std::string &backend, const std::vector<traits> &requests)
    {
        crash_exposure exposure{backend_id(backend), service, duration(0), {}};
        for (const traits &each : requests) {
            exposed_request request;
            for (const std::string &trait : each) {
                request.traits.emplace_back(trait);
            }
            exposure.requests.push_back(request);
        }
        step(crash_evidence{{exposure}, {}});
    }

    /** A server crashes with these requests in flight; then a second passes. */
    void crash(const std::vector<traits> &requests, duration pause = duration(1'000))
    {
        const std::string backend = "b" + std::to_string(++crashes);
        expose(backend, requests);
        step(backend_crashed{backend_id(backend)});
        pass(pause);
    }

    void survive(const std::string &trait)
    {
        step(crash_evidence{{}, {{subjectOf(trait), duration(0)}}});
    }

    void pass(duration time)
    {
        const time_point end = now + time;
        while (now < end) {
            now += duration(100);
            step(crash_tick{});
            if (agreed != inForce) {
                inForce = agreed;
                step(quarantine_changed{inForce});
            }
        }
    }

    crash_correlator correlator;
    time_point now{std::chrono::hours(1)};
    int crashes = 0;
    std::vector<std::string> quarantined;
    std::set<service_trait> agreed;
    std::set<service_trait> inForce;
    int expired = 0;
};

} // namespace

TEST_F(CrashCorrelator, QuarantinesAPartThatThreeCrashesHaveInCommon)
{
    crash({{"request:1", "part:a", "part:dead"}, {"request:2", "part:b"}});
    EXPECT_TRUE(correlator.suspects().empty());
    crash({{"request:3", "part:c", "part:dead"}});
    EXPECT_EQ(correlator.suspects(), std::vector<service_trait>{subjectOf("part:dead")});
    EXPECT_TRUE(quarantined.empty());
    crash({{"request:4", "part:d", "part:dead"}, {"request:5", "part:b"}});
    EXPECT_EQ(quarantined, std::vector<std::string>{"part:dead"});
    EXPECT_TRUE(correlator.suspects().empty());
}

TEST_F(CrashCorrelator, APartThatServersSurviveIsNotQuarantined)
{
    for (int i = 0; i < 10; ++i) {
        crash({{"request:" + std::to_string(i), "part:a"}});
        survive("part:a");
    }
    EXPECT_TRUE(quarantined.empty());
}

TEST_F(CrashCorrelator, QuarantinesTheDeadlyPartAndNotThoseThatSoundRequestsShare)
{
    for (int i = 0; i < 4; ++i) {
        crash({{"request:" + std::to_string(i), "part:shared", "part:dead"}}, duration(300));
        survive("part:shared");
        pass(duration(700));
    }
    EXPECT_EQ(quarantined, std::vector<std::string>{"part:dead"});
}

TEST_F(CrashCorrelator, OfPartsThatAlwaysComeTogetherOnlyTheNarrowerIsQuarantined)
{
    for (int i = 0; i < 6; ++i) {
        crash({{"request:" + std::to_string(i), "part:wide", "part:narrow"}});
    }
    EXPECT_EQ(quarantined, std::vector<std::string>{"part:narrow"});
}

TEST_F(CrashCorrelator, ServersThatEndTogetherQuarantineNothing)
{
    for (int i = 0; i < 20; ++i) {
        crash({{"request:" + std::to_string(i), "part:a"}}, duration(0));
    }
    pass(duration(5'000));
    EXPECT_TRUE(quarantined.empty());
}

TEST_F(CrashCorrelator, ServersThatOnlyCloseConnectionsQuarantineNothing)
{
    for (int i = 0; i < 10; ++i) {
        expose("alive", {{"request:" + std::to_string(i), "part:a"}});
        pass(duration(3'000));
    }
    EXPECT_TRUE(quarantined.empty());
    EXPECT_TRUE(correlator.suspects().empty());
}

TEST_F(CrashCorrelator, ARequestThatIsSentAgainAndAgainIsQuarantinedItself)
{
    for (int i = 0; i < 4; ++i) {
        crash({{"request:1", "part:a"}});
    }
    EXPECT_EQ(quarantined, std::vector<std::string>{"request:1"});
}

TEST_F(CrashCorrelator, APartIsFoundBehindARequestThatWasQuarantinedFirst)
{
    for (int i = 0; i < 3; ++i) {
        crash({{"request:1", "part:dead"}, {"request:9" + std::to_string(i), "part:sound"}}, duration(300));
        survive("part:sound");
        pass(duration(700));
    }
    crash({{"request:2", "part:dead"}});
    EXPECT_EQ(quarantined, (std::vector<std::string>{"request:1", "part:dead"}));
}

TEST_F(CrashCorrelator, FindsTwoDeadlyPartsAtTheSameTime)
{
    for (int i = 0; i < 6; ++i) {
        crash({{"request:" + std::to_string(i), i % 2 == 0 ? "part:dead1" : "part:dead2"}});
    }
    EXPECT_EQ(quarantined.size(), 2U);
}

TEST_F(CrashCorrelator, EvidenceThatComesAfterTheLossOfTheServerCounts)
{
    for (int i = 0; i < 3; ++i) {
        const std::string backend = "late" + std::to_string(i);
        step(backend_crashed{backend_id(backend)});
        pass(duration(300));
        expose(backend, {{"request:" + std::to_string(i), "part:dead"}});
        pass(duration(1'000));
    }
    EXPECT_EQ(quarantined, std::vector<std::string>{"part:dead"});
}

TEST_F(CrashCorrelator, AReleasedPartNeedsNewCrashesToBeQuarantinedAgain)
{
    for (int i = 0; i < 3; ++i) {
        crash({{"request:" + std::to_string(i), "part:dead"}});
    }
    ASSERT_EQ(quarantined.size(), 1U);
    agreed.clear();
    pass(duration(5'000));
    EXPECT_EQ(quarantined.size(), 1U);
    for (int i = 3; i < 6; ++i) {
        crash({{"request:" + std::to_string(i), "part:dead"}});
    }
    EXPECT_EQ(quarantined.size(), 2U);
}

TEST_F(CrashCorrelator, AQuarantineExpires)
{
    step(quarantine_changed{{subjectOf("part:dead")}});
    now += quarantineTime;
    step(crash_tick{});
    EXPECT_EQ(expired, 1);
}

TEST_F(CrashCorrelator, HostileTraitsDoNotHideTheDeadlyPart)
{
    int next = 0;
    for (int i = 0; i < 5; ++i) {
        std::vector<traits> requests{{"request:" + std::to_string(i), "part:dead"}};
        for (int k = 0; k < 200; ++k) {
            traits invented{"request:x" + std::to_string(++next)};
            for (int part = 0; part < 32; ++part) {
                invented.push_back("part:" + std::to_string(next) + "f" + std::to_string(part));
            }
            requests.push_back(invented);
        }
        crash(requests);
    }
    EXPECT_EQ(quarantined, std::vector<std::string>{"part:dead"});
}
