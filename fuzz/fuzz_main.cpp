// Runs a fuzz target without a fuzzing engine: on the files named, or on mutations of its own seeds from a fixed random
// seed, so that CI gives the same verdict every time. "--mutations N" runs N of each seed. A folder stands for its files.

#include "fuzz_target.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
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

/** Runs the target on a file, or on each file of a folder; the number of files. */
static std::size_t runFiles(const std::filesystem::path &path)
{
    std::size_t files = 0;
    if (std::filesystem::is_directory(path)) {
        for (const auto &each : std::filesystem::directory_iterator(path)) {
            files += runFiles(each.path());
        }
        return files;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::fprintf(stderr, "cannot read %s\n", path.c_str());
        std::exit(EXIT_FAILURE);
    }
    const std::vector<std::uint8_t> input{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    LLVMFuzzerTestOneInput(input.data(), input.size());
    return 1;
}

int main(int argc, char **argv)
{
    const bool isCounted = argc == 3 && std::string_view(argv[1]) == "--mutations";
    const int mutations = isCounted ? std::atoi(argv[2]) : defaultMutations;
    if (argc > 1 && !isCounted) {
        std::size_t files = 0;
        for (int i = 1; i < argc; ++i) {
            files += runFiles(argv[i]);
        }
        std::printf("%zu files\n", files);
        return files > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
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
