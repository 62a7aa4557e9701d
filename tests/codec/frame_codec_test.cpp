#include "codec/frame_codec.h"

#include "codec/flat_codec.h"
#include "codec/json_codec.h"
#include "support/properties.h"
#include "support/random_value.h"

using namespace carawayloft;

static std::vector<std::uint8_t> bodyOf(const std::vector<std::uint8_t> &frame)
{
    return {frame.begin() + frameHeaderBytes, frame.end()};
}

RC_GTEST_PROP(FrameCodec, AnyMessageSurvivesTheWire, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    peer_message message;
    test_support::fillRandomly(message, random);
    const std::vector<std::uint8_t> frame = encodeFrame(message);
    const result<std::size_t> length = decodeFrameLength(frame.data());
    RC_ASSERT(!failed(length));
    RC_ASSERT(valueOf(length) + frameHeaderBytes == frame.size());
    const result<peer_message> back = decodeFrameBody(bodyOf(frame));
    RC_ASSERT(!failed(back));
    RC_ASSERT(valueOf(back).index() == message.index());
    RC_ASSERT(flat::encode(valueOf(back)) == flat::encode(message));
}

RC_GTEST_PROP(FrameCodec, DamagedFramesAreRefusedOrStillWellFormed, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    peer_message message;
    test_support::fillRandomly(message, random);
    std::vector<std::uint8_t> body = bodyOf(encodeFrame(message));
    for (int i = 0; i < 4 && !body.empty(); ++i) {
        body[random() % body.size()] = static_cast<std::uint8_t>(random());
    }
    body.resize(body.size() - random() % (body.size() / 2 + 1));
    // Reading must neither crash nor leave the buffer; the sanitizer build watches that.
    const result<peer_message> back = decodeFrameBody(body);
    if (!failed(back)) {
        (void)encodeFrame(valueOf(back));
    }
}

TEST(FrameCodec, RefusesLengthsOutOfBounds)
{
    const std::uint8_t zero[] = {0, 0, 0, 0};
    const std::uint8_t huge[] = {0xFF, 0xFF, 0xFF, 0xFF};
    EXPECT_EQ(errorOf(decodeFrameLength(zero)).kind, error_kind::MalformedFrame);
    EXPECT_EQ(errorOf(decodeFrameLength(huge)).kind, error_kind::MalformedFrame);
}

namespace {

struct older_hello {
    std::uint32_t version = 0;

    static constexpr auto fields()
    {
        return std::tuple(field{"version", &older_hello::version});
    }
};

} // namespace

TEST(FrameCodec, OlderAndNewerReleasesReadEachOther)
{
    hello newer;
    newer.version = 7;
    newer.process = "entry-1";
    const auto byOlder = flat::decode<older_hello>(flat::encode(newer));
    ASSERT_TRUE(byOlder);
    EXPECT_EQ(byOlder->version, 7U);
    const auto byNewer = flat::decode<hello>(flat::encode(older_hello{5}));
    ASSERT_TRUE(byNewer);
    EXPECT_EQ(byNewer->version, 5U);
    EXPECT_EQ(byNewer->process, "");
}

TEST(FrameCodec, ReportsAndGrantsCarryTheDemandByRankAndAccount)
{
    gateway_grant grant;
    grant.classDemand = {{model_id("m"), request_rank(2), client_account_id("a"), 1.5, 3}};
    const auto decoded = flat::decode<gateway_grant>(flat::encode(grant));
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->classDemand.size(), 1U);
    EXPECT_EQ(decoded->classDemand.front().model, model_id("m"));
    EXPECT_EQ(decoded->classDemand.front().rank, request_rank(2));
    EXPECT_EQ(decoded->classDemand.front().account, client_account_id("a"));
    EXPECT_EQ(decoded->classDemand.front().requestsPerSecond, 1.5);
    EXPECT_EQ(decoded->classDemand.front().otherAccounts, 3U);
    gateway_report report;
    report.classDemand = grant.classDemand;
    const auto decodedReport = flat::decode<gateway_report>(flat::encode(report));
    ASSERT_TRUE(decodedReport);
    EXPECT_EQ(decodedReport->classDemand.size(), 1U);
}

TEST(FrameCodec, NamesEveryKindOfMessage)
{
    EXPECT_STREQ(kindOf(hello{}), "hello");
    EXPECT_STREQ(kindOf(join_request{}), "join_request");
    EXPECT_STREQ(kindOf(publish_fleet{}), "publish_fleet");
    EXPECT_STREQ(kindOf(gateway_grant{}), "gateway_grant");
    EXPECT_STREQ(kindOf(lease_grant{}), "lease_grant");
}

TEST(JsonCodec, WritesNamesForEnumerations)
{
    const auto json = json::from(zone_record{availability_zone_id("mid-a"), zone_state::Out});
    EXPECT_EQ(json.dump(), R"({"zone":"mid-a","state":"out"})");
}
