#include "process/cluster.h"

#include <csignal>

using namespace carawayloft::test_support;

TEST(Path, AStreamedAnswerIsWholeAndASignOffRunsOnce)
{
    cluster cluster;
    cluster.bringUp();
    const http_question question = cluster.question(1, "Explain the bank rec step.", 40);
    const http_answer answer = ask(question);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
    EXPECT_EQ(streamedText(answer.body), expectedText(question.body, 40));
    const http_answer first = ask(cluster.signOff(1, "march", "{\"step\":\"bank rec\"}"));
    const http_answer second = ask(cluster.signOff(2, "march", "{\"step\":\"bank rec\"}"));
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(first.body, second.body);
    EXPECT_EQ(cluster.callsRun().size(), 1U);
    const http_answer reused = ask(cluster.signOff(2, "march", "{\"step\":\"another\"}"));
    EXPECT_EQ(reused.status, 422);
    EXPECT_EQ(reused.headers.at("carawayloft-outcome"), "did-not-run");
    EXPECT_EQ(cluster.callsRun().size(), 1U);
}

TEST(Path, OneProcessMayHoldEveryRole)
{
    cluster_options options;
    options.together = true;
    options.controls = options.entries = options.records = 1;
    options.engines = 0;
    cluster cluster(options);
    cluster.bringUp();
    EXPECT_EQ(ask(cluster.signOff(1, "k", "{}")).status, 200);
    EXPECT_EQ(cluster.callsRun().size(), 1U);
    child check({CARAWAYLOFT_BIN "/carawayloftd", "--check", cluster.settingsFile("all")}, ::testing::TempDir() + "/settings-valid.log");
    EXPECT_EQ(check.wait(), 0);
    EXPECT_NE(check.log().find("the settings are valid"), std::string::npos);
    cluster.process("all").signal(SIGTERM);
    EXPECT_EQ(cluster.process("all").wait(), 0);
}

TEST(Path, TokensArriveOneByOne)
{
    cluster_options options;
    options.records = 0;
    options.engineOptions = {"--token-ms", "50"};
    cluster cluster(options);
    cluster.bringUp();
    http_question question = cluster.question(1, "slowly", 10);
    int pieces = 0;
    question.onBytes = [&](const std::string &) { ++pieces; };
    EXPECT_TRUE(ask(question).whole);
    EXPECT_GE(pieces, 8);
}

TEST(Path, BadInputGetsAClearAnswerAndRunsNothing)
{
    cluster cluster;
    cluster.bringUp();
    struct bad_input {
        std::string method;
        std::string path;
        std::string body;
        std::vector<std::string> headers;
        int status;
    };
    const std::string key = "Authorization: Bearer test-key";
    const std::vector<bad_input> cases{
        {"POST", "/v1/chat/completions", "{\"model\":", {key}, 400},
        {"POST", "/v1/chat/completions", "[]", {key}, 400},
        {"POST", "/v1/chat/completions", std::string(100'000, '['), {key}, 400},
        {"POST", "/v1/chat/completions", R"({"messages":[]})", {key}, 400},
        {"POST", "/v1/chat/completions", R"({"model":"drafting-models","messages":[],"stream":"yes"})", {key}, 400},
        {"POST", "/v1/chat/completions", R"({"model":"none","messages":[]})", {key}, 404},
        {"GET", "/v1/chat/completions", "", {key}, 400},
        {"POST", "/services/none/x", "{}", {key}, 404},
        {"POST", "/services/", "{}", {key}, 404},
        {"POST", "/services/drafting-models/x", "{}", {key}, 404},
        {"POST", "/services/checklist-records/x", "{}", {}, 401},
        {"POST", "/services/checklist-records/x", "{}", {"Authorization: Bearer wrong"}, 401},
        {"POST", "/services/checklist-records/x", "{}", {key, "Carawayloft-Timeout-Ms: soon"}, 400},
        {"POST", "/services/checklist-records/x", "{}", {key, "Idempotency-Key: " + std::string(300, 'k')}, 400},
        {"POST", "/nowhere", "{}", {key}, 404},
    };
    for (const bad_input &each : cases) {
        http_question question;
        question.method = each.method;
        question.url = cluster.entryUrl(1) + each.path;
        question.headers = each.headers;
        question.body = each.body;
        const http_answer answer = ask(question);
        EXPECT_EQ(answer.status, each.status) << each.path << ' ' << each.body.substr(0, 60);
        EXPECT_EQ(answer.headers.count("carawayloft-outcome") == 1 ? answer.headers.at("carawayloft-outcome") : "none", "did-not-run") << each.path;
        const auto json = nlohmann::json::parse(answer.body, nullptr, false);
        EXPECT_TRUE(json.is_object() && json["error"]["message"].is_string()) << answer.body;
    }
    http_question large;
    large.method = "POST";
    large.url = cluster.entryUrl(1) + "/services/checklist-records/x";
    large.headers = {key};
    large.body = std::string(std::size_t{5} << 20U, 'x');
    EXPECT_NE(ask(large).status, 200);
    http_question longHeader = large;
    longHeader.body = "{}";
    longHeader.headers.push_back("X-Long: " + std::string(64 << 10, 'x'));
    EXPECT_NE(ask(longHeader).status, 200);
    cluster.sendCutRequest(1);
    EXPECT_TRUE(cluster.await("the cut connection is logged", [&] {
        return cluster.process("entry-1").log().find("event=113 name=http_connection_rejected process=entry-1 reason=\"closed before") != std::string::npos;
    }));
    EXPECT_NE(cluster.process("entry-1").log().find("parser error"), std::string::npos);
    EXPECT_TRUE(cluster.callsRun().empty());
    EXPECT_TRUE(ask(cluster.question(1, "still there", 3)).whole);
}

TEST(Path, TheSettingsAreCheckedAndExitCodesTellWhatIsWrong)
{
    cluster_options options;
    options.controls = options.entries = options.engines = options.records = 0;
    cluster nothing(options);
    const std::string daemon = CARAWAYLOFT_BIN "/carawayloftd";
    const std::string log = ::testing::TempDir() + "/settings-check.log";
    child missing({daemon, "--check", "/nowhere.toml"}, log);
    EXPECT_EQ(missing.wait(), 3);
    child noWords({daemon}, log);
    EXPECT_EQ(noWords.wait(), 2);
}
