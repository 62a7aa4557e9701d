#include "ends/data_folder.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <sys/resource.h>
#include <unistd.h>

using namespace carawayloft;

namespace {

/** Stands in for a full disk: no file of this process can grow beyond @p bytes. */
class file_size_limit
{
public:
    explicit file_size_limit(rlim_t bytes)
        : m_handler(std::signal(SIGXFSZ, SIG_IGN))
    {
        getrlimit(RLIMIT_FSIZE, &m_before);
        const rlimit limit{bytes, m_before.rlim_max};
        setrlimit(RLIMIT_FSIZE, &limit);
    }

    ~file_size_limit()
    {
        setrlimit(RLIMIT_FSIZE, &m_before);
        std::signal(SIGXFSZ, m_handler);
    }

private:
    rlimit m_before{};
    void (*m_handler)(int);
};

class DataFolder : public ::testing::Test
{
protected:
    DataFolder()
        : m_path(std::filesystem::temp_directory_path() / ("carawayloft-folder-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(m_path);
    }

    ~DataFolder() override
    {
        std::filesystem::remove_all(m_path);
    }

    std::filesystem::path m_path;
};

} // namespace

TEST_F(DataFolder, KeepsWhatWasWritten)
{
    {
        auto folder = data_folder::open(m_path);
        ASSERT_FALSE(failed(folder));
        ASSERT_FALSE(failed(valueOf(folder)->perform({append_file{"a", {1, 2}},
                                                      append_file{"a", {3}},
                                                      sync_file{"a"},
                                                      replace_file{"b", {9}},
                                                      replace_file{"c", {1}},
                                                      remove_file{"c"},
                                                      truncate_file{"a", 2}})));
    }
    auto folder = data_folder::open(m_path);
    ASSERT_FALSE(failed(folder));
    const auto files = valueOf(folder)->readAll();
    ASSERT_FALSE(failed(files));
    EXPECT_EQ(valueOf(files), (folder_contents{{"a", {1, 2}}, {"b", {9}}}));
}

TEST_F(DataFolder, IsHeldByOneProcessAtATime)
{
    const auto first = data_folder::open(m_path);
    ASSERT_FALSE(failed(first));
    const auto second = data_folder::open(m_path);
    ASSERT_TRUE(failed(second));
    EXPECT_EQ(errorOf(second).kind, error_kind::DiskFailed);
    EXPECT_FALSE(errorOf(second).remedy.empty());
}

TEST_F(DataFolder, ReportsAWriteThatFails)
{
    auto folder = data_folder::open(m_path);
    ASSERT_FALSE(failed(folder));
    std::filesystem::create_directory(m_path / "x");
    EXPECT_TRUE(failed(valueOf(folder)->perform({append_file{"x", {1}}})));
}

TEST_F(DataFolder, AWriteThatMeetsAFullDiskLeavesItsFileAsItWasAndCanBeRepeated)
{
    auto folder = data_folder::open(m_path);
    ASSERT_FALSE(failed(folder));
    std::vector<disk_operation> operations{append_file{"a", bytes(3'000, 1)}, append_file{"a", bytes(3'000, 2)}, sync_file{"a"}};
    {
        const file_size_limit full(4'096);
        const status done = valueOf(folder)->perform(operations);
        ASSERT_TRUE(failed(done));
        EXPECT_EQ(errorOf(done).kind, error_kind::DiskFull);
    }
    EXPECT_EQ(operations.size(), 2U);
    EXPECT_EQ(std::filesystem::file_size(m_path / "a"), 3'000U);
    EXPECT_FALSE(failed(valueOf(folder)->perform(operations)));
    EXPECT_TRUE(operations.empty());
    EXPECT_EQ(std::filesystem::file_size(m_path / "a"), 6'000U);
}

TEST_F(DataFolder, AReplacementThatMeetsAFullDiskLeavesTheOldFile)
{
    auto folder = data_folder::open(m_path);
    ASSERT_FALSE(failed(folder));
    ASSERT_FALSE(failed(valueOf(folder)->perform({replace_file{"a", bytes(100, 1)}})));
    {
        const file_size_limit full(4'096);
        const status done = valueOf(folder)->perform({replace_file{"a", bytes(10'000, 2)}});
        ASSERT_TRUE(failed(done));
        EXPECT_EQ(errorOf(done).kind, error_kind::DiskFull);
    }
    EXPECT_EQ(std::filesystem::file_size(m_path / "a"), 100U);
}
