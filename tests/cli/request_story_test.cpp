#include "cli/request_story.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace carawayloft;

static std::string line(const std::string &time, int event, const std::string &name, const std::string &fields)
{
    return R"({"time":"2026-12-04 10:00:0)" + time + R"(","level":"INFO","entry":{"event":)" + std::to_string(event) + R"(,"name":")" + name
           + R"(","process":"front-1",)" + fields + "}}\n";
}

static request_story story(const std::string &request, const std::string &text)
{
    std::istringstream in(text);
    return tellStory(request, readLogLines(in));
}

TEST(RequestStory, ARefusalWithNoWorkDoneIsDecidedByItsReason)
{
    const request_story told = story("r1",
                                     line("1,000", 200, "request_rejected", R"("request":"r1","status":"503","reason":"no backend server is free")")
                                         + line("1,001", 213, "request_ended", R"("request":"r1","status":"503")")
                                         + line("1,002", 213, "request_ended", R"("request":"r2","status":"200")"));
    ASSERT_EQ(told.lines.size(), 2U);
    EXPECT_EQ(told.lines[told.deciding].fields.at("reason"), "no backend server is free");
}

TEST(RequestStory, ABrokenStreamShowsWhatBecameOfItsGroup)
{
    const request_story told = story("r1",
                                     "noise\n" + line("1,000", 201, "route_chosen", R"("request":"r1","group":"12","backend":"b1")")
                                         + line("1,500", 212, "group_suspended", R"("group":"12","reason":"member b2 cannot be reached")")
                                         + line("1,500", 212, "group_suspended", R"("group":"13","reason":"another one")")
                                         + line("1,600", 211, "call_repeated", R"("request":"r1","from":"b1","reason":"member b2 cannot be reached")")
                                         + line("3,600", 205, "answer_cut", R"("request":"r1")"));
    ASSERT_EQ(told.lines.size(), 4U);
    EXPECT_EQ(told.lines[1].name, "group_suspended");
    EXPECT_EQ(told.lines[told.deciding].name, "answer_cut");
}

TEST(RequestStory, AnUnknownOutcomeIsDecidedByTheLostAnswer)
{
    const request_story told = story("r1",
                                     line("1,000", 201, "route_chosen", R"("request":"r1","group":"0","backend":"b1")")
                                         + line("2,500", 206, "request_outcome_unknown", R"("request":"r1","status":"504","reason":"no whole answer came")"));
    EXPECT_EQ(told.lines[told.deciding].name, "request_outcome_unknown");
}

TEST(RequestStory, LinesOfSeveralProcessesStandInTheOrderOfTime)
{
    const request_story told = story("r1",
                                     "front-b 3.1 " + line("2,000", 213, "request_ended", R"("request":"r1","status":"200")")
                                         + line("1,000", 201, "route_chosen", R"("request":"r1","group":"0","backend":"b1")"));
    ASSERT_EQ(told.lines.size(), 2U);
    EXPECT_EQ(told.lines[0].name, "route_chosen");
    EXPECT_EQ(told.lines[told.deciding].name, "request_ended");
}

TEST(RequestStory, AnUnknownRequestHasNoStory)
{
    EXPECT_TRUE(story("r9", line("1,000", 213, "request_ended", R"("request":"r1")")).lines.empty());
}
