#pragma once

#include "codec/segment_codec.h"

#include <string>
#include <variant>

namespace carawayloft {

/** Adds to the end of a file, which is made if need be. */
struct append_file {
    std::string name;
    bytes data;
};

/** Makes all that was appended to the file durable. */
struct sync_file {
    std::string name;
};

/** Puts a whole file in place atomically and durably. */
struct replace_file {
    std::string name;
    bytes data;
};

struct truncate_file {
    std::string name;
    std::size_t size = 0;
};

struct remove_file {
    std::string name;
};

/** What a pure stage wants done to the data folder. */
using disk_operation = std::variant<append_file, sync_file, replace_file, truncate_file, remove_file>;

} // namespace carawayloft
