#include "codec/text_compression.h"

#include <zlib.h>

#include <array>

namespace carawayloft {

/** Bounds what a few compressed bytes can make a process store. */
static constexpr std::size_t maxTextBytes = std::size_t{64} << 20U;

static constexpr std::size_t blockBytes = std::size_t{64} << 10U;

std::string compressText(const std::string &text)
{
    uLongf length = compressBound(text.size());
    std::string out(length, '\0');
    // It fails only without memory or with too small a buffer.
    compress(reinterpret_cast<Bytef *>(out.data()), &length, reinterpret_cast<const Bytef *>(text.data()), text.size());
    out.resize(length);
    return out;
}

static error malformed(const char *what)
{
    return {error_kind::MalformedFrame, what, "check that all processes run the same version"};
}

result<std::string> decompressText(const std::string &compressed)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return malformed("compressed text cannot be read");
    }
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(compressed.data()));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string out;
    std::array<char, blockBytes> block{};
    int code = Z_OK;
    while (code == Z_OK && out.size() <= maxTextBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(block.data());
        stream.avail_out = blockBytes;
        code = inflate(&stream, Z_NO_FLUSH);
        out.append(block.data(), blockBytes - stream.avail_out);
    }
    inflateEnd(&stream);
    if (code != Z_STREAM_END || out.size() > maxTextBytes) {
        return malformed(out.size() > maxTextBytes ? "compressed text is too long" : "compressed text is damaged");
    }
    return out;
}

} // namespace carawayloft
