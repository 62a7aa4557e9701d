#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/** One input; aborts on a fault. The name is libFuzzer's, so that the targets also build with -fsanitize=fuzzer. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

/** Well-formed inputs to start from. */
std::vector<std::vector<std::uint8_t>> fuzzSeeds();

/** @p text as an input. */
inline std::vector<std::uint8_t> bytesOf(const std::string &text)
{
    return {text.begin(), text.end()};
}
