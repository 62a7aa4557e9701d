#include "process_memory.h"

#include <array>
#include <cstdint>
#include <fstream>
#include <linux/sock_diag.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

namespace carawayloft {

/** Above every descriptor that the measurements open. */
static constexpr int maxDescriptor = 8'192;

std::size_t residentBytes()
{
    malloc_trim(0); // Free memory that is taken again later would not show as growth.
    std::size_t size = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> size >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t socketBytes(const std::set<int> &others)
{
    std::size_t sum = 0;
    for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
        std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
        socklen_t size = sizeof(memory);
        if (!others.contains(descriptor) && getsockopt(descriptor, SOL_SOCKET, SO_MEMINFO, memory.data(), &size) == 0) {
            sum += memory[SK_MEMINFO_RMEM_ALLOC] + memory[SK_MEMINFO_WMEM_QUEUED] + memory[SK_MEMINFO_FWD_ALLOC];
        }
    }
    return sum;
}

} // namespace carawayloft
