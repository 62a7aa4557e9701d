#include "core/event.h"
#include "daemon/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace carawayloft;

static constexpr int firstEvent = 100;
static constexpr int lastEvent = 999;

static std::string readPage(const std::string &name)
{
    std::ifstream file(std::string(CARAWAYLOFT_DOCS) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static const char *severityName(severity level)
{
    static constexpr const char *names[] = {"debug", "info", "warning", "error"};
    return names[static_cast<int>(level)];
}

TEST(Docs, TheCatalogueListsEveryEventAndNoOther)
{
    const std::string page = readPage("EVENTS.md");
    std::size_t events = 0;
    for (int number = firstEvent; number <= lastEvent; ++number) {
        const event_traits traits = traitsOf(static_cast<event_number>(number));
        const std::string row = "\n| " + std::to_string(number) + " | ";
        if (traits.name == std::string("unknown")) {
            EXPECT_EQ(page.find(row), std::string::npos) << "event " << number << " is not in the code";
            continue;
        }
        ++events;
        EXPECT_NE(page.find(row + traits.name + " | " + severityName(traits.level) + " | "), std::string::npos) << traits.name << " is not in docs/EVENTS.md";
    }
    EXPECT_GT(events, 40U);
}

TEST(Docs, TheSettingsReferenceListsEveryKeyWithItsDefault)
{
    const std::string page = readPage("OPERATIONS.md");
    for (const setting_key &each : settingKeys()) {
        const std::string defaultValue = *each.defaultValue == '\0' ? "required" : "`" + std::string(each.defaultValue) + "`";
        const std::string row = "| `" + std::string(each.section) + "." + each.key + "` | " + each.kind + " | " + defaultValue + " | ";
        EXPECT_NE(page.find(row), std::string::npos) << row;
        EXPECT_NE(page.find(each.meaning), std::string::npos) << each.meaning;
    }
}
