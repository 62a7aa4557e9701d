#include <carawayloft/gateway/server_turns.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>

namespace carawayloft {

/** Time for which the first place of a run keeps its turn, at least; the next place enters when it ends. */
static constexpr duration minStep{250};

/** Time after a change of the sequence until all gateways have heard of it: the period of reports and the window of the limits. */
static constexpr duration settlingTime{2'000};

/** A clock that moves by more belongs to another control replica. */
static constexpr duration maxClockDeviation{250};

/**
 * Time in which a run passes all places. It changes only where the number of places passes a power of two, since every change
 * of it moves all runs.
 */
static duration rotationOf(std::uint32_t places)
{
    return minStep * std::bit_ceil(places);
}

static bool isNearby(std::uint32_t left, std::uint32_t right)
{
    return std::max(left, right) - std::min(left, right) <= 1;
}

void server_turns::assign(const turn_assignment &assignment, time_point now)
{
    if (!m_assignment) {
        m_settledFrom = now + settlingTime;
    } else {
        const duration expected = m_assignment->clock + std::chrono::duration_cast<duration>(now - m_assignedAt);
        const duration deviation = std::chrono::abs(assignment.clock - expected);
        const bool continues = deviation <= maxClockDeviation && assignment.place == m_assignment->place && isNearby(assignment.places, m_assignment->places)
                               && rotationOf(assignment.places) == rotationOf(m_assignment->places);
        m_settledFrom = continues ? m_settledFrom : now + settlingTime;
    }
    m_assignment = assignment;
    m_assignment->places = std::max(assignment.places, assignment.place + 1);
    m_assignedAt = now;
}

bool server_turns::hasTurn(const backend_id &backend, std::uint32_t active, time_point now) const
{
    if (!m_assignment) {
        return false;
    }
    const duration clock = m_assignment->clock + std::chrono::duration_cast<duration>(now - m_assignedAt);
    const duration rotation = rotationOf(m_assignment->places);
    const auto offset = static_cast<duration::rep>(std::hash<std::string>()(backend.value()) % static_cast<std::uint64_t>(rotation.count()));
    const double passed = static_cast<double>((clock.count() + offset) % rotation.count()) / static_cast<double>(rotation.count());
    const std::uint32_t places = m_assignment->places;
    const auto first = std::min(static_cast<std::uint32_t>(passed * places), places - 1);
    return (m_assignment->place + places - first) % places < active;
}

bool server_turns::isSettled(time_point now) const
{
    return m_assignment && now >= m_settledFrom;
}

} // namespace carawayloft
