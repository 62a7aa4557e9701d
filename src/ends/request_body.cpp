#include "ends/request_body.h"

#include <algorithm>
#include <malloc.h>

namespace carawayloft {

/**
 * Size from which the memory of a body's blocks is given back to the system once the body is whole. The allocator keeps
 * freed blocks, and a body in one piece does not fit between blocks of others, so both would count.
 */
static constexpr std::size_t largeBodyBytes = std::size_t{1} << 20U;

static constexpr std::size_t blockBytes = std::size_t{32} << 10U;

void request_body::append(std::string_view bytes)
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == blockBytes) {
            m_blocks.emplace_back();
        }
        std::string &block = m_blocks.back();
        const std::size_t part = std::min(bytes.size(), blockBytes - block.size());
        if (m_blocks.size() > 1) {
            block.reserve(blockBytes);
        }
        block.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
    }
}

std::size_t request_body::heldBytes() const
{
    // Every block but the last is full.
    return m_blocks.empty() ? 0 : (m_blocks.size() - 1) * blockBytes + m_blocks.back().capacity();
}

std::string request_body::take()
{
    const bool isLarge = m_size >= largeBodyBytes;
    std::string whole;
    if (m_blocks.size() == 1) {
        whole = std::move(m_blocks.front());
    } else {
        whole.reserve(m_size);
        for (std::string &each : m_blocks) {
            whole += each;
            std::string().swap(each);
        }
    }
    m_blocks.clear();
    m_size = 0;
    if (isLarge) {
        malloc_trim(0);
    }
    return whole;
}

} // namespace carawayloft
