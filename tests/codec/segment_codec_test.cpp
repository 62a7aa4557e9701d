#include "codec/segment_codec.h"

#include "support/properties.h"

using namespace carawayloft;

static bytes makeSegment(const std::vector<bytes> &payloads)
{
    bytes file;
    for (std::size_t i = 0; i < payloads.size(); ++i) {
        const bytes record = encodeRecord(i, payloads[i]);
        file.insert(file.end(), record.begin(), record.end());
    }
    return file;
}

RC_GTEST_PROP(SegmentCodec, ReadsBackWhatWasWritten, (const std::vector<bytes> &payloads))
{
    const bytes file = makeSegment(payloads);
    const auto contents = decodeSegment(file);
    RC_ASSERT(!failed(contents));
    RC_ASSERT(valueOf(contents).payloads == payloads);
    RC_ASSERT(valueOf(contents).intactBytes == file.size());
}

RC_GTEST_PROP(SegmentCodec, ATornTailLosesOnlyTheLastRecord, (const std::vector<bytes> &payloads))
{
    RC_PRE(!payloads.empty());
    const bytes file = makeSegment(payloads);
    const std::size_t last = encodeRecord(payloads.size() - 1, payloads.back()).size();
    const std::size_t cut = *rc::gen::inRange<std::size_t>(1, last + 1);
    const auto contents = decodeSegment({file.begin(), file.end() - static_cast<std::ptrdiff_t>(cut)});
    RC_ASSERT(!failed(contents));
    RC_ASSERT(valueOf(contents).payloads.size() + 1 == payloads.size());
}

RC_GTEST_PROP(SegmentCodec, DamageInTheMiddleIsReported, (const std::vector<bytes> &payloads))
{
    RC_PRE(payloads.size() >= 2);
    bytes file = makeSegment(payloads);
    const std::size_t last = encodeRecord(payloads.size() - 1, payloads.back()).size();
    const std::size_t place = *rc::gen::inRange<std::size_t>(0, file.size() - last);
    file[place] ^= static_cast<std::uint8_t>(*rc::gen::inRange(1, 256));
    const auto contents = decodeSegment(file);
    RC_ASSERT(failed(contents));
    RC_ASSERT(errorOf(contents).kind == error_kind::DiskDamaged);
    RC_ASSERT(!errorOf(contents).remedy.empty());
}

TEST(SegmentCodec, ARecordOutOfTurnIsDamage)
{
    const bytes file = encodeRecord(1, {1, 2, 3});
    EXPECT_TRUE(failed(decodeSegment(file)));
}
