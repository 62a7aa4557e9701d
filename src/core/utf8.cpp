#include <carawayloft/core/utf8.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace carawayloft {

namespace {

/** Sequences whose first byte is in one range; the range of their second byte rules out overlong forms, surrogates and what is beyond U+10FFFF. */
struct sequence_form {
    std::uint8_t leastFirst;
    std::uint8_t greatestFirst;
    std::size_t length;
    std::uint8_t leastSecond;
    std::uint8_t greatestSecond;
};

} // namespace

static constexpr std::uint8_t leastContinuation = 0x80;
static constexpr std::uint8_t greatestContinuation = 0xbf;

static constexpr std::array<sequence_form, 8> sequenceForms{{{0xc2, 0xdf, 2, leastContinuation, greatestContinuation},
                                                             {0xe0, 0xe0, 3, 0xa0, greatestContinuation},
                                                             {0xe1, 0xec, 3, leastContinuation, greatestContinuation},
                                                             {0xed, 0xed, 3, leastContinuation, 0x9f},
                                                             {0xee, 0xef, 3, leastContinuation, greatestContinuation},
                                                             {0xf0, 0xf0, 4, 0x90, greatestContinuation},
                                                             {0xf1, 0xf3, 4, leastContinuation, greatestContinuation},
                                                             {0xf4, 0xf4, 4, leastContinuation, 0x8f}}};

static std::uint8_t byteAt(std::string_view text, std::size_t position)
{
    return static_cast<std::uint8_t>(text[position]);
}

static bool isBetween(std::uint8_t byte, std::uint8_t least, std::uint8_t greatest)
{
    return least <= byte && byte <= greatest;
}

static bool isAscii(char byte)
{
    return static_cast<std::uint8_t>(byte) < leastContinuation;
}

/** Bytes of the well-formed sequence that @p text begins with; zero if there is none. */
static std::size_t sequenceLength(std::string_view text)
{
    if (isAscii(text.front())) {
        return 1;
    }
    const std::uint8_t first = byteAt(text, 0);
    const auto *form
        = std::find_if(sequenceForms.begin(), sequenceForms.end(), [&](const auto &each) { return isBetween(first, each.leastFirst, each.greatestFirst); });
    if (form == sequenceForms.end() || text.size() < form->length || !isBetween(byteAt(text, 1), form->leastSecond, form->greatestSecond)) {
        return 0;
    }
    for (std::size_t i = 2; i < form->length; ++i) {
        if (!isBetween(byteAt(text, i), leastContinuation, greatestContinuation)) {
            return 0;
        }
    }
    return form->length;
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = sequenceLength(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

std::string escapeNonUtf8(std::string text)
{
    if (isUtf8(text)) {
        return text;
    }
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (std::string_view rest = text; !rest.empty();) {
        const std::size_t length = sequenceLength(rest);
        if (length == 0) {
            const std::uint8_t byte = byteAt(rest, 0);
            escaped += {'%', digits[byte / digits.size()], digits[byte % digits.size()]};
        } else {
            escaped += rest.substr(0, length);
        }
        rest.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return escaped;
}

} // namespace carawayloft
