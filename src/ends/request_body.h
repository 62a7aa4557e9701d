#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace carawayloft {

/** A body while it arrives. Kept in blocks, so that it never takes more than one block beyond its bytes, however they are split. */
class request_body
{
public:
    void append(std::string_view bytes);

    std::size_t size() const
    {
        return m_size;
    }

    /** Memory that the body takes. */
    std::size_t heldBytes() const;

    /** The whole body; nothing is left here. */
    std::string take();

private:
    std::vector<std::string> m_blocks;
    std::size_t m_size = 0;
};

} // namespace carawayloft
