#include "ends/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace carawayloft {

std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hexadecimal;
    for (unsigned int i = 0; i < length; ++i) {
        hexadecimal += digits[bytes[i] >> 4U];
        hexadecimal += digits[bytes[i] & 0xFU];
    }
    return hexadecimal;
}

std::uint64_t fastDigest(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace carawayloft
