#pragma once

#include <carawayloft/core/units.h>

#include <optional>
#include <random>

namespace carawayloft {

/** When a rejected caller should return. */
struct retry_time {
    duration after{0};
    bool hasSlot = false; /**< Capacity is expected to be free then. */
};

/** Tells rejected callers when to return, so that they arrive one by one at the rate at which there is capacity for them. */
class retry_schedule
{
public:
    explicit retry_schedule(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /**
     * Takes the next free slot for a caller with @p timeLeft, not before @p earliest from now.
     *
     * @param slotsPerSecond Requests per second for which there will be capacity, or nothing if it is not known.
     */
    retry_time next(std::optional<double> slotsPerSecond, duration timeLeft, duration earliest, time_point now);

private:
    duration draw(duration least, duration most);

    std::mt19937_64 m_random;
    time_point m_nextSlot;
};

} // namespace carawayloft
