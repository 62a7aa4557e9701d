#include "platform/platform_front_end.h"

#include "platform/wire_names.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace carawayloft;

static const front_end &frontEnd()
{
    return platform::platformFrontEnd();
}

static nlohmann::json makeConfiguration()
{
    return nlohmann::json::parse(R"({"version":7,
        "routes":[{"name":"r1","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":8000,"sloMs":300,"priority":1,
                   "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2,"resumable":true,"gapAimMs":300},
                  {"name":"r2","host":"ficu95.example","pathPrefix":"/x/","kind":"non_idempotent","timeoutMs":1500,"sloMs":300,"service":"s2","attempts":1}],
        "services":[{"name":"s1","maxConns":552,"coldPerS":36.0,"engine":{"slots":48,"stride":6,"step_ms":5.95,"read_per_s":50700.0,"loadsPerS":3.0,
                     "loads_at_once":6,"models":[{"name":"m","size":4,"share":0.57,"pace":1.0,"loadS":16.0,"warmS":1.6}]}},{"name":"s2","maxConns":96}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1}]})");
}

TEST(FrontEnd, ReadsConfiguration)
{
    const auto read = frontEnd().readConfiguration(makeConfiguration().dump());
    ASSERT_FALSE(failed(read));
    const service_configuration &configuration = valueOf(read);
    EXPECT_EQ(configuration.version(), configuration_version(7));
    EXPECT_EQ(configuration.routes()[0].targets.size(), 2U);
    EXPECT_EQ(configuration.routes()[0].longestPause, duration(300));
    EXPECT_EQ(configuration.routes()[1].kind, retry_policy::NonIdempotent);
    EXPECT_EQ(configuration.services()[0].engine->models[0].hostsPerGroup, 4U);
    EXPECT_EQ(configuration.services()[0].engine->models[0].loadTime.value(), engine_duration(16'000));
    EXPECT_EQ(configuration.accounts()[0].keys.size(), 2U);
}

TEST(FrontEnd, RejectsTruncatedOrIncompleteConfiguration)
{
    const std::string document = makeConfiguration().dump();
    EXPECT_TRUE(failed(frontEnd().readConfiguration(document.substr(0, document.size() / 2))));
    EXPECT_TRUE(failed(frontEnd().readConfiguration(document.substr(0, document.size() - 1))));
    EXPECT_TRUE(failed(frontEnd().readConfiguration("[]")));
    for (const char *name : {"name", "host", "pathPrefix", "kind"}) {
        nlohmann::json broken = makeConfiguration();
        broken["routes"][0].erase(name);
        EXPECT_TRUE(failed(frontEnd().readConfiguration(broken.dump()))) << name;
    }
    nlohmann::json broken = makeConfiguration();
    broken.erase("version");
    EXPECT_TRUE(failed(frontEnd().readConfiguration(broken.dump())));
    broken = makeConfiguration();
    broken["routes"][0]["kind"] = "sometimes";
    EXPECT_TRUE(failed(frontEnd().readConfiguration(broken.dump())));
}

static http_request makeRequest(const std::string &method, const std::string &path, const std::string &body = {});

// One without routes was acknowledged and removed all routes.
TEST(FrontEnd, RejectsAConfigurationThatLacksAPart)
{
    const auto decode
        = [](const nlohmann::json &document) { return frontEnd().decodeControlRequest(makeRequest("PUT", platform::wire::configPath, document.dump())); };
    EXPECT_FALSE(failed(decode(makeConfiguration())));
    for (const char *part : {"version", "routes", "services", "limits"}) {
        nlohmann::json incomplete = makeConfiguration();
        incomplete.erase(part);
        const auto missing = decode(incomplete);
        ASSERT_TRUE(failed(missing)) << part;
        EXPECT_NE(errorOf(missing).what.find(part), std::string::npos) << errorOf(missing).what;
        incomplete[part] = nullptr;
        EXPECT_TRUE(failed(decode(incomplete))) << part;
    }
    const auto alone = decode({{"version", 8}});
    ASSERT_TRUE(failed(alone));
    EXPECT_NE(errorOf(alone).what.find("routes"), std::string::npos) << errorOf(alone).what;
}

// Earlier releases accepted incomplete configurations; one that is in force must still be read after an update.
TEST(FrontEnd, ReadsAStoredConfigurationThatLacksAPart)
{
    nlohmann::json stored = makeConfiguration();
    stored.erase("limits");
    EXPECT_FALSE(failed(frontEnd().readConfiguration(stored.dump())));
}

static http_request makeRequest(const std::string &method, const std::string &path, const std::string &body)
{
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    return request;
}

template<class Call>
static bool decodesTo(const http_request &request)
{
    const auto decoded = frontEnd().decodeControlRequest(request);
    return !failed(decoded) && valueOf(decoded) && std::holds_alternative<Call>(*valueOf(decoded));
}

TEST(FrontEnd, DecodesControlRequestsByPathAndMethod)
{
    EXPECT_TRUE(decodesTo<configuration_change>(makeRequest("PUT", "/-/config", makeConfiguration().dump())));
    EXPECT_TRUE(decodesTo<configuration_query>(makeRequest("GET", "/-/config")));
    EXPECT_TRUE(decodesTo<zone_change>(makeRequest("POST", "/-/evacuations/mid-a")));
    EXPECT_TRUE(decodesTo<zone_change>(makeRequest("DELETE", "/-/evacuations/mid-a")));
    EXPECT_TRUE(decodesTo<backend_departure>(makeRequest("DELETE", "/-/instances/i-1")));
    const auto other = frontEnd().decodeControlRequest(makeRequest("GET", "/v1/status"));
    EXPECT_FALSE(failed(other));
    EXPECT_FALSE(valueOf(other));
}

static nlohmann::json makeCheckIn()
{
    return nlohmann::json::parse(R"({"service":"s1","address":"10.128.0.9:8080","zone":"mid-a","version":"v1","slots":48,"state":"ready","coldLeftMs":1200,
        "stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":4,"born":1700000000000,"domain":"d1","staged":["m"],
        "group":{"name":"g12","epoch":12,"rank":1,"state":"ready"}})");
}

TEST(FrontEnd, ReadsBackendCheckIn)
{
    const auto decoded = frontEnd().decodeControlRequest(makeRequest("PUT", "/-/instances/i-7", makeCheckIn().dump()));
    ASSERT_FALSE(failed(decoded));
    const backend_record &record = std::get<backend_check_in>(*valueOf(decoded)).record;
    EXPECT_EQ(record.backend, backend_id("i-7"));
    EXPECT_EQ(record.coldLeft, duration(1'200));
    EXPECT_EQ(record.startedAt, 1'700'000'000'000);
    EXPECT_EQ(record.announcement, 4U);
    EXPECT_EQ(record.fabricDomain, fabric_domain_id("d1"));
    EXPECT_EQ(record.loaded, model_id("m"));
    EXPECT_EQ(record.membership, (membership_report{group_epoch(12), 1, membership_state::Ready}));
}

TEST(FrontEnd, RejectsMalformedBackendCheckIn)
{
    const auto isRejected
        = [](const nlohmann::json &body) { return failed(frontEnd().decodeControlRequest(makeRequest("PUT", "/-/instances/i-7", body.dump()))); };
    for (const char *name : {"service", "address", "zone", "state", "sequence"}) {
        nlohmann::json broken = makeCheckIn();
        broken.erase(name);
        EXPECT_TRUE(isRejected(broken)) << name;
        broken[name] = nlohmann::json::array();
        EXPECT_TRUE(isRejected(broken)) << name;
    }
    nlohmann::json broken = makeCheckIn();
    broken["state"] = "resting";
    EXPECT_TRUE(isRejected(broken));
    broken = makeCheckIn();
    broken["group"]["state"] = "resting";
    EXPECT_TRUE(isRejected(broken));
    EXPECT_TRUE(failed(frontEnd().decodeControlRequest(makeRequest("PUT", "/-/instances/i-7", "\x01\x02"))));
}

static http_request makeCallerRequest()
{
    http_request request = makeRequest("POST", "/lohu930/2f", "prompt");
    request.headers = {{"Host", "ficu95.example:80"},
                       {platform::wire::requestId, "9c41"},
                       {platform::wire::deadlineMs, "8000"},
                       {platform::wire::model, "m"},
                       {platform::wire::tokenCount, "1460,80"},
                       {platform::wire::authorization, "Token k1"},
                       {platform::wire::tenant, "forged"},
                       {"Connection", "keep-alive, X-Once"},
                       {"X-Once", "1"},
                       {"X-Other", "kept"}};
    return request;
}

TEST(FrontEnd, ReadsCallerHeaders)
{
    const auto decoded = frontEnd().decodeGatewayRequest(makeCallerRequest());
    ASSERT_FALSE(failed(decoded));
    const gateway_request &call = valueOf(decoded);
    EXPECT_EQ(call.host, "ficu95.example");
    EXPECT_EQ(call.key, access_key("k1"));
    EXPECT_EQ(call.timeLimit, duration(8'000));
    EXPECT_EQ(call.promptTokens, 1'460U);
    EXPECT_EQ(call.maxAnswerTokens, 80U);
}

TEST(FrontEnd, RejectsRequestWithoutIdOrWithInvalidNumber)
{
    http_request request = makeCallerRequest();
    request.headers.erase(platform::wire::requestId);
    EXPECT_TRUE(failed(frontEnd().decodeGatewayRequest(request)));
    request = makeCallerRequest();
    request.headers[platform::wire::deadlineMs] = "soon";
    EXPECT_TRUE(failed(frontEnd().decodeGatewayRequest(request)));
}

TEST(FrontEnd, SendsAccountButNeverAccessKeyToBackend)
{
    call_backend call;
    call.backend = backend_id("i-7");
    call.address = endpoint("10.0.0.1:80");
    call.account = client_account_id("t1");
    call.timeLeft = duration(7'000);
    call.resumeAfter = stream_event_id(3);
    const http_call out = frontEnd().encodeBackendCall(makeCallerRequest(), call);
    EXPECT_EQ(out.url, "http://10.0.0.1:80/lohu930/2f");
    EXPECT_EQ(out.body, "prompt");
    EXPECT_FALSE(out.headers.contains(platform::wire::authorization));
    EXPECT_EQ(out.headers.at(platform::wire::tenant), "t1");
    EXPECT_EQ(out.headers.at(platform::wire::deadlineMs), "7000");
    EXPECT_EQ(out.headers.at(platform::wire::expectInstance), "i-7");
    EXPECT_EQ(out.headers.at(platform::wire::lastEventId), "3");
    EXPECT_EQ(out.headers.at("X-Other"), "kept");
    EXPECT_FALSE(out.headers.contains("X-Once"));
    EXPECT_FALSE(out.headers.contains("Connection"));
}

// A line break in the name of an account, which a configuration may hold, put headers into the requests of its callers.
TEST(FrontEnd, TheNameOfAnAccountAddsNoHeaders)
{
    call_backend call;
    call.account = client_account_id("t1\r\nX-Injected: 1\t\xc3\xa4");
    EXPECT_EQ(frontEnd().encodeBackendCall(makeCallerRequest(), call).headers.at(platform::wire::tenant), "t1%0D%0AX-Injected: 1\t\xc3\xa4");
}

TEST(FrontEnd, RemovesForgedAccountHeader)
{
    EXPECT_FALSE(frontEnd().encodeBackendCall(makeCallerRequest(), call_backend{}).headers.contains(platform::wire::tenant));
}

// Guards against callers that put themselves before others at the engines.
TEST(FrontEnd, StatesTheUrgencyToBackendsAndDropsThatOfCallers)
{
    http_request request = makeCallerRequest();
    request.headers[platform::wire::requestUrgency] = "0";
    call_backend call;
    EXPECT_FALSE(frontEnd().encodeBackendCall(request, call).headers.contains(platform::wire::requestUrgency));
    call.urgency = 7;
    EXPECT_EQ(frontEnd().encodeBackendCall(request, call).headers.at("X-Carawayloft-Request-Urgency"), "7");
}

// Guards against a priority that is ignored or wrapped: the error names the field, and the configuration is refused whole.
TEST(FrontEnd, RefusesAPriorityThatIsNoIntegerWithinItsBounds)
{
    for (const char *list : {"routes", "tenants"}) {
        for (const nlohmann::json &value :
             {nlohmann::json("high"), nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json(1'001), nlohmann::json(std::uint64_t{1} << 33U)}) {
            nlohmann::json document = makeConfiguration();
            document[list][0]["priority"] = value;
            const auto read = frontEnd().readConfiguration(document.dump());
            ASSERT_TRUE(failed(read)) << list << value;
            EXPECT_NE(errorOf(read).what.find(std::string(list) + ".priority"), std::string::npos) << errorOf(read).what;
        }
        nlohmann::json document = makeConfiguration();
        document[list][0]["priority"] = 1'000;
        EXPECT_FALSE(failed(frontEnd().readConfiguration(document.dump()))) << list;
    }
    nlohmann::json document = makeConfiguration();
    document["tenants"][0].erase("priority");
    const auto read = frontEnd().readConfiguration(document.dump());
    ASSERT_FALSE(failed(read));
    EXPECT_EQ(valueOf(read).accounts()[0].priority, std::nullopt);
    EXPECT_EQ(valueOf(read).routes()[1].priority, 0U);
}

TEST(FrontEnd, DecodesBackendAnswers)
{
    const http_request request = makeCallerRequest();
    const http_headers matchingId{{platform::wire::requestId, "9c41"}};
    EXPECT_FALSE(frontEnd().decodeBackendAnswer({200, "text/event-stream", matchingId}, request, {}).requestIdMismatch);
    EXPECT_TRUE(frontEnd().decodeBackendAnswer({200, "text/event-stream", matchingId}, request, {}).isStream);
    EXPECT_TRUE(frontEnd().decodeBackendAnswer({200, "", {{platform::wire::requestId, "other"}}}, request, {}).requestIdMismatch);
    EXPECT_TRUE(frontEnd().decodeBackendAnswer({200, "", {}}, request, {}).requestIdMismatch);
    EXPECT_TRUE(frontEnd().decodeBackendAnswer({503, "", {{platform::wire::notExecuted, "1"}}}, request, {}).notExecuted);
    EXPECT_TRUE(frontEnd().decodeBackendAnswer({421, "", {}}, request, {}).wrongBackend);
}

TEST(FrontEnd, RejectionCarriesRetryAfter)
{
    const http_response out = frontEnd().encodeRejection({request_id(1), 503, {}, run_outcome::DidNotRun, duration(900)}, "9c41");
    EXPECT_EQ(out.status, 503U);
    EXPECT_EQ(out.headers.at("Retry-After"), "0.900");
}

// A header in another encoding than UTF-8 made the gateway throw while it wrote the rejection.
TEST(FrontEnd, ARejectionMayQuoteAnyBytes)
{
    http_request request = makeCallerRequest();
    request.headers[platform::wire::deadlineMs] = "\xff\xfe\xe9";
    const auto decoded = frontEnd().decodeGatewayRequest(request);
    ASSERT_TRUE(failed(decoded));
    const http_response out = frontEnd().encodeRejection({request_id(1), 400, errorOf(decoded), run_outcome::DidNotRun, duration(0)}, "\xff");
    EXPECT_EQ(out.status, 400U);
    EXPECT_TRUE(nlohmann::json::parse(out.body).contains("error"));
}

TEST(FrontEnd, ForwardsTheTargetAsItWasSent)
{
    http_request request = makeCallerRequest();
    request.query.clear();
    call_backend call;
    call.address = endpoint("10.0.0.1:80");
    EXPECT_EQ(frontEnd().encodeBackendCall(request, call).url, "http://10.0.0.1:80" + request.path);
    request.hasEmptyQuery = true;
    EXPECT_EQ(frontEnd().encodeBackendCall(request, call).url, "http://10.0.0.1:80" + request.path + "?");
    request.hasEmptyQuery = false;
    request.query = "a=\xe9";
    EXPECT_EQ(frontEnd().encodeBackendCall(request, call).url, "http://10.0.0.1:80" + request.path + "?a=\xe9");
}

TEST(FrontEnd, EncodesOrdersWithFencingToken)
{
    const http_call out = frontEnd().encodeOrder({order_id(1),
                                                  backend_id("i-7"),
                                                  endpoint("10.0.0.1:80"),
                                                  fencing_token(5),
                                                  join_group{group_epoch(12), model_id("m"), {backend_id("i-7"), backend_id("i-8")}}});
    const nlohmann::json body = nlohmann::json::parse(out.body);
    EXPECT_EQ(body["op"], "join");
    EXPECT_EQ(body["fence"], 5);
    EXPECT_EQ(body["epoch"], 12);
    EXPECT_EQ(body["members"].size(), 2U);
    EXPECT_EQ(frontEnd().decodeOrderAnswer(412), order_outcome::Fenced);
    EXPECT_EQ(frontEnd().decodeOrderAnswer(409), order_outcome::Conflict);
    EXPECT_EQ(frontEnd().decodeOrderAnswer(500), order_outcome::Unanswered);
}

TEST(FrontEnd, EncodesTheOrderToLeaveAGroup)
{
    const http_call out = frontEnd().encodeOrder({order_id(1), backend_id("i-7"), endpoint("10.0.0.1:80"), fencing_token(5), leave_group{group_epoch(12)}});
    const nlohmann::json body = nlohmann::json::parse(out.body);
    EXPECT_EQ(body["op"], "leave");
    EXPECT_EQ(body["group"], "g12");
    EXPECT_EQ(body["epoch"], 12);
    EXPECT_EQ(body["fence"], 5);
}

static std::vector<request_trait> traitsOf(const std::string &promptParts, const std::string &body = "x")
{
    http_request request = makeRequest("POST", "/draft/x", body);
    request.headers = {{platform::wire::requestId, "r1"}, {platform::wire::promptParts, promptParts}};
    const auto decoded = frontEnd().decodeGatewayRequest(request);
    return failed(decoded) ? std::vector<request_trait>() : valueOf(decoded).traits;
}

TEST(FrontEnd, TheTraitsOfARequestAreItselfAndEveryPromptPartButTheLast)
{
    const auto traits = traitsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    ASSERT_EQ(traits.size(), 3U);
    EXPECT_TRUE(traits[0].value().starts_with("request:"));
    EXPECT_EQ(traits[1], request_trait("part:5c1e07a2"));
    EXPECT_EQ(traits[2], request_trait("part:91bd3f06"));
    EXPECT_EQ(traitsOf("e4402b7d:250").size(), 1U);
    EXPECT_EQ(traitsOf("").size(), 1U);
    EXPECT_EQ(traitsOf("", "a"), traitsOf("", "a"));
    EXPECT_NE(traitsOf("", "a"), traitsOf("", "b"));
}

TEST(FrontEnd, HostilePromptPartsAreBounded)
{
    std::string many;
    for (int i = 0; i < 1'000; ++i) {
        many += std::to_string(i) + ":1,";
    }
    EXPECT_LE(traitsOf(many).size(), 33U);
    EXPECT_EQ(traitsOf(std::string(10'000, 'a') + ":1,b:2").size(), 1U);
    EXPECT_EQ(traitsOf(",,:,:5,").size(), 1U);
    EXPECT_EQ(traitsOf("\xff\xfe:5,\"}:1,b:2").size(), 1U);
}

static std::optional<double> requestLimitOf(const std::string &header)
{
    http_started answer;
    answer.status = 200;
    answer.headers = {{platform::wire::requestLimit, header}};
    return frontEnd().decodeBackendAnswer(answer, makeRequest("GET", "/x"), backend_call_id(1)).requestLimit;
}

TEST(FrontEnd, ReadsTheRequestLimitOfAServer)
{
    EXPECT_EQ(requestLimitOf("5.9"), 5.9);
    EXPECT_EQ(requestLimitOf("0"), 0.0);
    for (const char *header : {"", "many", "-1", "nan", "inf", "1e999", "5 a second"}) {
        EXPECT_EQ(requestLimitOf(header), std::nullopt) << header;
    }
}

static nlohmann::json makeNumberedCheckIn()
{
    return nlohmann::json::parse(R"({"service":"s1","address":"10.0.0.1:8080","zone":"a","version":"v1","slots":48,"state":"ready","coldLeftMs":0,
        "sequence":4,"born":1700000000000,"group":{"name":"g7","epoch":7,"rank":1,"state":"ready"}})");
}

static bool isAccepted(const nlohmann::json &checkIn)
{
    return decodesTo<backend_check_in>(makeRequest("PUT", "/-/instances/i-1", checkIn.dump()));
}

TEST(FrontEnd, ACheckInWithANumberOutOfRangeIsRefusedWhole)
{
    ASSERT_TRUE(isAccepted(makeNumberedCheckIn()));
    const std::uint64_t tooLarge = std::numeric_limits<std::uint64_t>::max();
    for (const char *name : {"sequence", "born"}) {
        nlohmann::json odd = makeNumberedCheckIn();
        odd[name] = tooLarge;
        EXPECT_FALSE(isAccepted(odd)) << name;
        odd[name] = -1;
        EXPECT_FALSE(isAccepted(odd)) << name;
    }
    for (const double cold : {1e300, -1e300, -1.0}) {
        nlohmann::json odd = makeNumberedCheckIn();
        odd["coldLeftMs"] = cold;
        EXPECT_FALSE(isAccepted(odd)) << cold;
    }
    for (const char *name : {"epoch", "rank"}) {
        nlohmann::json odd = makeNumberedCheckIn();
        odd["group"][name] = tooLarge;
        EXPECT_FALSE(isAccepted(odd)) << name;
    }
    nlohmann::json wrapped = makeNumberedCheckIn();
    wrapped["group"]["rank"] = std::uint64_t{1} << 33U; // As 32 bits it would be rank 0, the head.
    EXPECT_FALSE(isAccepted(wrapped));
    for (const char *address : {"10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:99999999999999999999"}) {
        nlohmann::json odd = makeNumberedCheckIn();
        odd["address"] = address;
        EXPECT_FALSE(isAccepted(odd)) << address;
    }
}

// A check-in with such an id ended each control replica that led, and one of a zone stayed in the replicated log.
TEST(FrontEnd, AnIdThatIsNoTextNamesNoServerAndNoZone)
{
    const std::string checkIn = makeNumberedCheckIn().dump();
    const std::vector<std::string> ids{"i-\xff\xfe", "i-\xe2\x82", "i-\xed\xa0\x80", "i-\xc0\xaf", "i-\xf4\x90\x80\x80", ""};
    for (const std::string &id : ids) {
        for (const http_request &request : {makeRequest("PUT", platform::wire::instancesPath + id, checkIn),
                                            makeRequest("DELETE", platform::wire::instancesPath + id),
                                            makeRequest("POST", platform::wire::evacuationsPath + id),
                                            makeRequest("DELETE", platform::wire::evacuationsPath + id)}) {
            const auto decoded = frontEnd().decodeControlRequest(request);
            ASSERT_TRUE(failed(decoded)) << request.method << request.path;
            EXPECT_EQ(errorOf(decoded).kind, error_kind::InvalidRequest);
        }
    }
    for (const std::string id : {"i-%FF%FE", "i-\xc3\xa4", "\"i\""}) {
        EXPECT_TRUE(decodesTo<backend_check_in>(makeRequest("PUT", platform::wire::instancesPath + id, checkIn))) << id;
        EXPECT_TRUE(decodesTo<backend_departure>(makeRequest("DELETE", platform::wire::instancesPath + id))) << id;
        EXPECT_TRUE(decodesTo<zone_change>(makeRequest("POST", platform::wire::evacuationsPath + id))) << id;
    }
}

// What earlier versions took in may still be in stored data and in messages of their processes.
TEST(FrontEnd, EncodesOrdersForIdsOfAnyBytes)
{
    const std::string bytes = "\xff\xfe\n\"";
    const backend_id odd("i-" + bytes);
    const std::vector<engine_order> orders{join_group{group_epoch(1), model_id("m" + bytes), {odd}}, stage_model{model_id(bytes)}};
    for (const engine_order &each : orders) {
        const http_call call = frontEnd().encodeOrder({order_id(1), odd, endpoint("127.0.0.1:1"), fencing_token(1), each});
        EXPECT_TRUE(nlohmann::json::accept(call.body)) << call.body;
    }
}

TEST(FrontEnd, ADeeplyNestedCheckInDoesNotEndTheProcess)
{
    static constexpr std::size_t depth = 200'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string whole = makeNumberedCheckIn().dump();
    for (const char *field : {"\"odd\":", "\"models\":", "\"group\":", "\"staged\":"}) {
        const auto decoded = frontEnd().decodeControlRequest(makeRequest("PUT", "/-/instances/i-1", "{" + std::string(field) + nested + "," + whole.substr(1)));
        EXPECT_TRUE(failed(decoded) || valueOf(decoded));
    }
}

TEST(FrontEnd, AConfigurationWithANumberOutOfRangeIsRefused)
{
    for (const char *name : {"timeoutMs", "sloMs"}) {
        nlohmann::json odd = makeConfiguration();
        odd["routes"][0][name] = 1e300;
        EXPECT_TRUE(failed(frontEnd().readConfiguration(odd.dump()))) << name;
    }
    nlohmann::json odd = makeConfiguration();
    odd["routes"][0]["backends"][0]["weight"] = std::uint64_t{1} << 32U; // As 32 bits it would be 0.
    EXPECT_TRUE(failed(frontEnd().readConfiguration(odd.dump())));
}

namespace {

/** A figure of an engine or its model that can be stated but not planned with. */
struct odd_figure {
    const char *name;
    bool isOfModel;
    double stated;
};

} // namespace

static nlohmann::json makeConfigurationWith(const odd_figure &odd)
{
    nlohmann::json document = makeConfiguration();
    nlohmann::json &engine = document["services"][0]["engine"];
    (odd.isOfModel ? engine["models"][0] : engine)[odd.name] = odd.stated;
    return document;
}

static std::optional<error> objectionTo(const nlohmann::json &document)
{
    const auto decoded = frontEnd().decodeControlRequest(makeRequest("PUT", platform::wire::configPath, document.dump()));
    return failed(decoded) ? errorOf(decoded) : std::get<configuration_change>(*valueOf(decoded)).objection;
}

// The page that lists what makes a configuration invalid sets no least share, pace or length. Each of these ended control.
TEST(FrontEnd, AcceptsExtremeFiguresAndSaysWhatIsUsedInTheirPlace)
{
    for (const odd_figure &odd : {odd_figure{"share", true, 1e308},
                                  {"pace", true, 0.0},
                                  {"pace", true, 1e300},
                                  {"loadS", true, 1e300},
                                  {"step_ms", false, 0.0},
                                  {"read_per_s", false, 0.0}}) {
        const nlohmann::json document = makeConfigurationWith(odd);
        EXPECT_FALSE(objectionTo(document)) << odd.name;
        const auto read = frontEnd().readConfiguration(document.dump());
        ASSERT_FALSE(failed(read)) << odd.name;
        const std::vector<replaced_figure> &replaced = valueOf(read).replacedFigures();
        ASSERT_EQ(replaced.size(), 1U) << odd.name;
        EXPECT_EQ(replaced.front().service, service_id("s1"));
        EXPECT_TRUE(replaced.front().field.ends_with(odd.name)) << replaced.front().field;
        EXPECT_EQ(replaced.front().stated, odd.stated);
    }
    nlohmann::json document = makeConfiguration();
    document["services"][0]["engine"]["slots"] = 0;
    document["services"][0]["engine"]["usual"] = {{"prompt", 0}, {"answer", 0}};
    EXPECT_FALSE(objectionTo(document));
    EXPECT_EQ(valueOf(frontEnd().readConfiguration(document.dump())).replacedFigures().size(), 3U);
}

TEST(FrontEnd, AShareOfZeroIsPlannedWithAsItIs)
{
    const auto read = frontEnd().readConfiguration(makeConfigurationWith({"share", true, 0.0}).dump());
    ASSERT_FALSE(failed(read));
    EXPECT_TRUE(valueOf(read).replacedFigures().empty());
    EXPECT_EQ(valueOf(read).services()[0].engine->models[0].share.value(), 0.0);
    EXPECT_TRUE(valueOf(frontEnd().readConfiguration(makeConfiguration().dump())).replacedFigures().empty());
}

// Earlier versions accepted and stored such figures; an update must still read them.
TEST(FrontEnd, ObjectsToFiguresBelowZeroAndReadsStoredOnes)
{
    for (const odd_figure &odd :
         {odd_figure{"share", true, -0.5}, {"pace", true, -1.0}, {"warmS", true, -1e300}, {"per_seq_ms", false, -0.1}, {"loadsPerS", false, -3.0}}) {
        const nlohmann::json document = makeConfigurationWith(odd);
        const std::optional<error> objection = objectionTo(document);
        ASSERT_TRUE(objection) << odd.name;
        EXPECT_EQ(objection->kind, error_kind::InvalidRequest);
        EXPECT_NE(objection->what.find(odd.name), std::string::npos) << objection->what;
        EXPECT_FALSE(objection->remedy.empty());
        EXPECT_FALSE(failed(frontEnd().readConfiguration(document.dump()))) << odd.name;
    }
}

TEST(FrontEnd, OfModelsAndServicesWithOneNameTheFirstHolds)
{
    nlohmann::json document = makeConfiguration();
    nlohmann::json &models = document["services"][0]["engine"]["models"];
    models.push_back(models[0]);
    models[1]["size"] = 7;
    document["services"].push_back(document["services"][1]);
    const auto read = frontEnd().readConfiguration(document.dump());
    ASSERT_FALSE(failed(read));
    ASSERT_EQ(valueOf(read).services().size(), 2U);
    ASSERT_EQ(valueOf(read).services()[0].engine->models.size(), 1U);
    EXPECT_EQ(valueOf(read).services()[0].engine->models[0].hostsPerGroup.value(), 4U);
}

TEST(FrontEnd, ARefusalWithoutARequestIdOnAReusedConnectionMayBeAnEarlierOne)
{
    http_started refusal;
    refusal.status = 503;
    refusal.headers = {{platform::wire::notExecuted, "1"}};
    const http_request request = makeRequest("POST", "/x");
    EXPECT_FALSE(frontEnd().decodeBackendAnswer(refusal, request, backend_call_id(1)).requestIdMismatch);
    refusal.reusedConnection = true;
    EXPECT_TRUE(frontEnd().decodeBackendAnswer(refusal, request, backend_call_id(1)).requestIdMismatch);
}

static backend_answer_started decodedAnswer(std::uint32_t status, const std::string &header, const std::string &value)
{
    http_started answer;
    answer.status = status;
    answer.headers = {{header, value}};
    return frontEnd().decodeBackendAnswer(answer, makeRequest("GET", "/x"), backend_call_id(1));
}

TEST(FrontEnd, ReadsForHowLongAServerWantsNoRequests)
{
    EXPECT_EQ(decodedAnswer(503, platform::wire::retryAfter, "2").refusalTime, duration(2'000));
    EXPECT_EQ(decodedAnswer(503, platform::wire::retryAfter, "0.25").refusalTime, duration(250));
    EXPECT_EQ(decodedAnswer(200, platform::wire::retryAfter, "2").refusalTime, std::nullopt);
    for (const char *value : {"nan", "inf", "-1", "1e12", "1000000000000", "soon", "2, 3", "2 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        const backend_answer_started answer = decodedAnswer(503, platform::wire::retryAfter, value);
        EXPECT_EQ(answer.refusalTime, std::nullopt) << value;
        EXPECT_EQ(answer.invalidHeaders, 1U) << value;
    }
}

TEST(FrontEnd, ReadsThatAServerLeaves)
{
    EXPECT_TRUE(decodedAnswer(200, platform::wire::leaving, "1").leaving);
    EXPECT_FALSE(decodedAnswer(200, platform::wire::leaving, "0").leaving);
    for (const char *value : {"1, 1", "true", "-1", "2", "1e0"}) {
        const backend_answer_started answer = decodedAnswer(200, platform::wire::leaving, value);
        EXPECT_FALSE(answer.leaving) << value;
        EXPECT_EQ(answer.invalidHeaders, 1U) << value;
    }
}

TEST(FrontEnd, AnAnswerWithoutARequestIdOnAReusedConnectionMayBeALateCopyOfAnEarlierOne)
{
    http_started answer;
    answer.status = 500;
    answer.reusedConnection = true;
    EXPECT_TRUE(frontEnd().decodeBackendAnswer(answer, makeCallerRequest(), backend_call_id(1)).requestIdMismatch);
    answer.reusedConnection = false;
    EXPECT_FALSE(frontEnd().decodeBackendAnswer(answer, makeCallerRequest(), backend_call_id(1)).requestIdMismatch);
}
