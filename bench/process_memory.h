#pragma once

#include <cstddef>
#include <set>

namespace carawayloft {

/** Resident memory of this process, in bytes. */
std::size_t residentBytes();

/** What the system holds in the buffers of this process's sockets but for those of @p others, in bytes. */
std::size_t socketBytes(const std::set<int> &others);

} // namespace carawayloft
