#include "codec/text_compression.h"

#include <gtest/gtest.h>

using namespace carawayloft;

TEST(TextCompression, GivesBackEveryText)
{
    for (const std::string &text : {std::string(), std::string("x"), std::string(1'000'000, 'x'), std::string("\0\xff{\"a\":1}", 10)}) {
        const auto back = decompressText(compressText(text));
        ASSERT_FALSE(failed(back));
        EXPECT_EQ(valueOf(back), text);
    }
}

TEST(TextCompression, DamagedBytesAreNoText)
{
    const std::string whole = compressText("a configuration of many routes");
    for (std::size_t length = 0; length < whole.size(); ++length) {
        EXPECT_TRUE(failed(decompressText(whole.substr(0, length))));
    }
    EXPECT_TRUE(failed(decompressText("{\"version\":1}")));
}

TEST(TextCompression, BytesThatStandForTooMuchTextAreRefused)
{
    EXPECT_TRUE(failed(decompressText(compressText(std::string(std::size_t{65} << 20U, 'x')))));
}

TEST(TextCompression, AConfigurationOfManyRoutesShrinksToAFifth)
{
    std::string routes;
    unsigned drawn = 1;
    const auto name = [&drawn] {
        drawn = drawn * 1'103'515'245U + 12'345U;
        return std::to_string(drawn);
    };
    for (int i = 0; i < 1'440; ++i) {
        routes += R"({"name":"r-)" + name() + R"(","host":"ledger.example","pathPrefix":"/)" + name()
                  + R"(/","kind":"streaming","timeoutMs":8000,"sloMs":300,"priority":1,"service":"models","attempts":2,"resumable":true},)";
    }
    EXPECT_LT(compressText(routes).size() * 5, routes.size());
}
