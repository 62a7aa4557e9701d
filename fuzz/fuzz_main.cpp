// Runs a fuzz target without a fuzzing engine: on the files named, or on mutations of its own seeds from a fixed random
// seed, so that CI gives the same verdict every time. "--mutations N" runs N of each seed.

#include "fuzz_target.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <string_view>

static constexpr int defaultMutations = 20'000;
static constexpr std::uint64_t randomSeed = 20'261'204;

static void mutate(std::vector<std::uint8_t> &input, std::mt19937_64 &random)
{
    for (std::uint64_t i = 0; i < 1 + random() % 6 && !input.empty(); ++i) {
        switch (random() % 4) {
        case 0:
            input[random() % input.size()] = static_cast<std::uint8_t>(random());
            break;
        case 1:
            input[random() % input.size()] ^= static_cast<std::uint8_t>(1U << (random() % 8));
            break;
        case 2:
            input.resize(random() % input.size() + 1);
            break;
        default:
            input.insert(input.begin() + static_cast<std::ptrdiff_t>(random() % input.size()), static_cast<std::uint8_t>(random()));
            break;
        }
    }
}

int main(int argc, char **argv)
{
    const bool isCounted = argc == 3 && std::string_view(argv[1]) == "--mutations";
    const int mutations = isCounted ? std::atoi(argv[2]) : defaultMutations;
    for (int i = 1; i < argc && !isCounted; ++i) {
        std::ifstream file(argv[i], std::ios::binary);
        const std::vector<std::uint8_t> input{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        LLVMFuzzerTestOneInput(input.data(), input.size());
    }
    if (argc > 1 && !isCounted) {
        return EXIT_SUCCESS;
    }
    std::mt19937_64 random(randomSeed);
    std::size_t runs = 0;
    for (const std::vector<std::uint8_t> &seed : fuzzSeeds()) {
        for (int i = 0; i < mutations; ++i, ++runs) {
            std::vector<std::uint8_t> input = seed;
            mutate(input, random);
            LLVMFuzzerTestOneInput(input.data(), input.size());
        }
    }
    std::printf("%zu inputs\n", runs);
    return EXIT_SUCCESS;
}
