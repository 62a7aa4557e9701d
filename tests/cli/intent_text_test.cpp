#include "cli/intent_text.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::cli;

/** Friday, 4 December 2026, 07:00 UTC. */
static constexpr wall_time friday{std::chrono::seconds(1'796'367'600)};

static std::string deadlineOf(const std::string &text)
{
    const auto intent = parseIntent(text, "UTC", friday);
    return failed(intent) ? describe(errorOf(intent)) : formatTime(valueOf(intent).deadline, "UTC");
}

TEST(IntentText, UnderstandsWeekdaysAndDates)
{
    EXPECT_EQ(deadlineOf("empty mid-a by Sunday noon"), "Sunday 2026-12-06 12:00 UTC (UTC+0000)");
    EXPECT_EQ(deadlineOf("empty mid-a by friday 06:30"), "Friday 2026-12-11 06:30 UTC (UTC+0000)");
    EXPECT_EQ(deadlineOf("empty mid-a by friday 07:30"), "Friday 2026-12-04 07:30 UTC (UTC+0000)");
    EXPECT_EQ(deadlineOf("empty mid-a by 2027-01-31 midnight into mid-d"), "Sunday 2027-01-31 00:00 UTC (UTC+0000)");
}

TEST(IntentText, NamesTheZones)
{
    const auto intent = parseIntent("empty mid-a by Sunday noon into mid-d", "UTC", friday);
    ASSERT_FALSE(failed(intent));
    EXPECT_EQ(valueOf(intent).leaving, availability_zone_id("mid-a"));
    EXPECT_EQ(valueOf(intent).arriving, availability_zone_id("mid-d"));
}

TEST(IntentText, RefusesWhatItDoesNotUnderstand)
{
    for (const char *text :
         {"", "empty mid-a", "empty mid-a by Someday noon", "empty mid-a by Sunday 25:00", "empty mid-a by 2026-02-30 12:00", "fill mid-a by Sunday noon"}) {
        const auto intent = parseIntent(text, "UTC", friday);
        ASSERT_TRUE(failed(intent)) << text;
        EXPECT_FALSE(errorOf(intent).remedy.empty());
    }
    EXPECT_TRUE(failed(parseIntent("empty mid-a by Sunday noon", "Mars/Olympus", friday)));
}
