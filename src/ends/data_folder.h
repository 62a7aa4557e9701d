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

    /**
     * Performs the operations in order and takes out those that are done. Fails with DiskFull if the next one has left
     * its file as it was and may be performed again; after any other failure nothing about the files is certain: stop.
     */
    status perform(std::vector<disk_operation> &operations);
    status perform(std::vector<disk_operation> &&operations)
    {
        return perform(operations);
    }

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
    void closeAppendHandle();

    std::string m_path;
    int m_lock = -1;
    std::string m_openName;
    int m_openFile = -1;
};

} // namespace carawayloft
