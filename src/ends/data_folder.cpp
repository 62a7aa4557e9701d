#include "ends/data_folder.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>

namespace carawayloft {

static constexpr const char *lockName = "lock";
static constexpr const char *temporarySuffix = ".new";
static constexpr int fileMode = 0644;

static bool isFull(int code)
{
    return code == ENOSPC || code == EDQUOT || code == EFBIG;
}

static error failure(const std::string &what)
{
    const int code = errno;
    return {error_kind::DiskFailed, what + ": " + std::strerror(code), "check the disk; if it is lost, start the process with an empty data folder"};
}

/** The failure of an operation that has left its file as it was. */
static error harmlessFailure(const std::string &what)
{
    const int code = errno;
    return isFull(code) ? error{error_kind::DiskFull, what + ": " + std::strerror(code), "free space on the disk"} : failure(what);
}

/** Writes all of @p data; a short write is carried on, an error is reported. */
static bool writeAll(int file, const bytes &data)
{
    std::size_t written = 0;
    while (written < data.size()) {
        const ssize_t count = write(file, data.data() + written, data.size() - written);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

data_folder::data_folder(std::string path)
    : m_path(std::move(path))
{
}

data_folder::~data_folder()
{
    closeAppendHandle();
    if (m_lock >= 0) {
        close(m_lock);
    }
}

result<std::unique_ptr<data_folder>> data_folder::open(const std::string &path)
{
    std::error_code code;
    std::filesystem::create_directories(path, code);
    auto folder = std::unique_ptr<data_folder>(new data_folder(path + "/"));
    folder->m_lock = ::open((folder->m_path + lockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (folder->m_lock < 0) {
        return failure("cannot open the data folder " + path);
    }
    if (flock(folder->m_lock, LOCK_EX | LOCK_NB) != 0) {
        return error{error_kind::DiskFailed, "data folder " + path + " is in use by another process", "stop that process or set another folder"};
    }
    return folder;
}

result<folder_contents> data_folder::readAll() const
{
    folder_contents contents;
    std::error_code code;
    for (const auto &each : std::filesystem::directory_iterator(m_path, code)) {
        const std::string name = each.path().filename().string();
        if (name == lockName || name.ends_with(temporarySuffix)) {
            continue;
        }
        std::ifstream file(each.path(), std::ios::binary);
        bytes data{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        if (file.bad() || !file.is_open()) {
            return failure("cannot read " + name);
        }
        contents.emplace(name, std::move(data));
    }
    if (code) {
        return error{error_kind::DiskFailed, "cannot list the data folder: " + code.message(), "check the disk"};
    }
    return contents;
}

status data_folder::perform(std::vector<disk_operation> &operations)
{
    auto each = operations.begin();
    status done;
    while (each != operations.end() && !failed(done)) {
        done = std::visit([this](const auto &operation) { return run(operation); }, *each);
        each += failed(done) ? 0 : 1;
    }
    operations.erase(operations.begin(), each);
    return done;
}

void data_folder::closeAppendHandle()
{
    if (m_openFile >= 0) {
        close(m_openFile);
    }
    m_openFile = -1;
    m_openName.clear();
}

result<int> data_folder::appendHandle(const std::string &name)
{
    if (m_openName == name) {
        return m_openFile;
    }
    closeAppendHandle();
    m_openName = name;
    m_openFile = ::open((m_path + name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, fileMode);
    if (m_openFile < 0) {
        const error why = harmlessFailure("cannot open " + name);
        closeAppendHandle();
        return why;
    }
    if (status synced = syncFolder(); failed(synced)) {
        return errorOf(synced);
    }
    return m_openFile;
}

status data_folder::run(const append_file &operation)
{
    const result<int> file = appendHandle(operation.name);
    if (failed(file)) {
        return errorOf(file);
    }
    const off_t before = lseek(valueOf(file), 0, SEEK_END);
    if (before < 0 || writeAll(valueOf(file), operation.data)) {
        return before < 0 ? status(failure("cannot find the end of " + operation.name)) : status();
    }
    const error why = harmlessFailure("cannot write " + operation.name);
    const bool restored = ftruncate(valueOf(file), before) == 0;
    closeAppendHandle();
    return restored ? why : error{error_kind::DiskFailed, why.what + "; the part that was written cannot be removed", "check the disk"};
}

status data_folder::run(const sync_file &operation)
{
    const result<int> file = appendHandle(operation.name);
    if (failed(file)) {
        return errorOf(file);
    }
    return fdatasync(valueOf(file)) == 0 ? status() : status(failure("cannot sync " + operation.name));
}

status data_folder::run(const replace_file &operation)
{
    const std::string name = m_path + operation.name;
    const std::string temporary = name + temporarySuffix;
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode);
    if (file < 0) {
        return harmlessFailure("cannot make " + temporary);
    }
    const bool written = writeAll(file, operation.data) && fsync(file) == 0;
    status outcome = written ? status() : status(harmlessFailure("cannot write " + temporary));
    close(file);
    if (failed(outcome)) {
        return outcome;
    }
    if (rename(temporary.c_str(), name.c_str()) != 0) {
        return failure("cannot put " + operation.name + " in place");
    }
    return syncFolder();
}

status data_folder::run(const truncate_file &operation)
{
    const result<int> file = appendHandle(operation.name);
    if (failed(file)) {
        return errorOf(file);
    }
    const bool done = ftruncate(valueOf(file), static_cast<off_t>(operation.size)) == 0 && fsync(valueOf(file)) == 0;
    return done ? status() : status(failure("cannot truncate " + operation.name));
}

status data_folder::run(const remove_file &operation)
{
    if (m_openName == operation.name) {
        closeAppendHandle();
    }
    if (unlink((m_path + operation.name).c_str()) != 0 && errno != ENOENT) {
        return failure("cannot remove " + operation.name);
    }
    return {};
}

status data_folder::syncFolder() const
{
    const int folder = ::open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return failure("cannot open the data folder");
    }
    const bool done = fsync(folder) == 0;
    status outcome = done ? status() : status(failure("cannot sync the data folder"));
    close(folder);
    return outcome;
}

std::uint64_t data_folder::freeBytes() const
{
    std::error_code code;
    const auto space = std::filesystem::space(m_path, code);
    return code ? 0 : space.available;
}

} // namespace carawayloft
