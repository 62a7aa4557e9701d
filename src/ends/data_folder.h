#pragma once

#include "ends/log_store.h"

#include <memory>

namespace carawayloft {

/** The one folder under which a control replica keeps its files; locked against a second process. */
class data_folder
{
public:
    /** Makes the folder if need be. Fails with DiskFailed, also when another process holds it. */
    static result<std::unique_ptr<data_folder>> open(const std::string &path);

    ~data_folder();

    result<folder_contents> readAll() const;

    /** Performs the operations in order. After a failure nothing about the files is certain: stop. */
    status perform(const std::vector<disk_operation> &operations);

    /** Bytes that may still be written. */
    std::uint64_t freeBytes() const;

private:
    explicit data_folder(std::string path);

    status run(const append_file &operation);
    status run(const sync_file &operation);
    status run(const replace_file &operation);
    status run(const truncate_file &operation);
    status run(const remove_file &operation);
    status syncFolder() const;
    result<int> appendHandle(const std::string &name);

    std::string m_path;
    int m_lock = -1;
    std::string m_openName;
    int m_openFile = -1;
};

} // namespace carawayloft
