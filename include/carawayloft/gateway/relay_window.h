#pragma once

#include <cstddef>
#include <optional>

namespace carawayloft {

/**
 * How much of a streamed answer its caller has still to take. A server may send faster than the caller reads, or
 * without end, so reading from it pauses above one limit and goes on below another.
 */
class relay_window
{
public:
    /** Bytes were passed on to the caller. Returns whether reading must pause or go on from now, if that changes. */
    std::optional<bool> add(std::size_t bytes);

    /** The caller has taken bytes; returns the same. */
    std::optional<bool> taken(std::size_t bytes);

    /** Another call, which is not paused, goes on with the answer. */
    void restart();

    bool isPaused() const
    {
        return m_paused;
    }

private:
    std::optional<bool> change(bool paused);

    std::size_t m_untaken = 0; /**< In bytes. */
    bool m_paused = false;
};

} // namespace carawayloft
