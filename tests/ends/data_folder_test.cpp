#include "ends/data_folder.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <unistd.h>

using namespace carawayloft;

namespace {

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
