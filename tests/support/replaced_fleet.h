#pragma once

#include "support/log_cluster.h"

#include <set>
#include <string>
#include <vector>

namespace carawayloft::test_support {

/** Losses that an installation bears at the same time, as the platform's settings state them. */
struct tolerated_losses {
    std::size_t machines = 1; /**< Or, in their place, all machines of one zone. */
    duration catchUp{4'000}; /**< A machine counts as lost for this long after it is back. */
    duration recovery{12'000}; /**< The log leads again within this time. */
};

/**
 * Machines in zones, each with a replica of the log, that are replaced, removed, wiped, killed, frozen and cut off.
 * An event that would exceed the tolerated losses does nothing.
 */
class replaced_fleet
{
public:
    replaced_fleet(const std::vector<std::string> &zones, tolerated_losses tolerated)
        : m_cluster(zones)
        , m_tolerated(tolerated)
        , m_machines(zones.size())
    {
    }

    log_cluster &log()
    {
        return m_cluster;
    }

    std::uint32_t size() const
    {
        return m_cluster.size();
    }

    /** Starts the successor of a machine in its zone. In a zone with several machines the oldest one that has none is replaced first. A machine that runs is
     * replaced once it has caught up. */
    void addSuccessor(std::uint32_t i)
    {
        static constexpr std::uint32_t maxMachines = 12;
        if (size() >= maxMachines || m_machines[i].successor || (!m_cluster.at(i).isRemoved && !(isOldest(i) && hasCaughtUp(i)))) {
            return;
        }
        m_machines[i].successor = m_cluster.addReplica(m_cluster.at(i).zone);
        m_machines.emplace_back().startedAt = m_cluster.now();
    }

    /** Removes a machine for good. */
    void remove(std::uint32_t i)
    {
        if (!m_cluster.at(i).isRemoved && (isReplaced(i) || mayLose({i}))) {
            m_cluster.removeReplica(i);
            m_machines[i].isDown = true;
        }
    }

    /** A machine loses its disk; it is down until restore(). */
    void wipe(std::uint32_t i)
    {
        if (!m_machines[i].isDown && lostMachines({i}).size() <= m_tolerated.machines) {
            m_machines[i].isDown = true;
            m_cluster.wipe(i);
        }
    }

    void kill(std::uint32_t i)
    {
        if (!m_machines[i].isDown && mayLose({i})) {
            m_machines[i].isDown = true;
            m_cluster.crash(i);
        }
    }

    void freeze(std::uint32_t i)
    {
        if (!m_machines[i].isDown && mayLose({i})) {
            m_machines[i].isDown = true;
            m_cluster.freeze(i);
        }
    }

    void cutOff(std::uint32_t i)
    {
        if (!m_machines[i].isDown && mayLose({i})) {
            m_machines[i].isDown = true;
            m_cluster.setCut(i, true);
        }
    }

    /** All machines in the zone of machine @p i are cut off. */
    void cutOffZone(std::uint32_t i)
    {
        std::set<std::uint32_t> zone;
        for (std::uint32_t each = 0; each < size(); ++each) {
            if (m_cluster.at(each).zone == m_cluster.at(i).zone && !m_cluster.at(each).isRemoved) {
                zone.insert(each);
            }
        }
        if (mayLose(zone)) {
            for (const std::uint32_t each : zone) {
                m_machines[each].isDown = true;
                m_cluster.setCut(each, true);
            }
        }
    }

    /** A machine that is down, frozen or cut off is as before, but for what it lost. */
    void restore(std::uint32_t i)
    {
        if (!m_machines[i].isDown || m_cluster.at(i).isRemoved) {
            return;
        }
        m_cluster.setCut(i, false);
        m_cluster.thaw(i);
        m_cluster.restart(i);
        m_machines[i].isDown = false;
        m_machines[i].backAt = m_cluster.now();
    }

    /** All machines that run lose power and are back at once, with their disks. */
    void powerOff()
    {
        for (std::uint32_t i = 0; i < size(); ++i) {
            if (m_cluster.at(i).log && !m_machines[i].isDown) {
                m_cluster.crash(i);
                m_cluster.restart(i);
            }
        }
        m_powerBackAt = m_cluster.now();
    }

    /** Whether the log takes a new value in time, while what is lost stays lost. */
    bool recovers()
    {
        return m_cluster.leadsWithin(m_tolerated.recovery);
    }

    void restoreAll()
    {
        for (std::uint32_t i = 0; i < size(); ++i) {
            restore(i);
        }
    }

private:
    struct machine {
        time_point startedAt;
        time_point backAt; /**< End of its last loss. */
        bool isDown = false;
        std::optional<std::uint32_t> successor;
    };

    bool isOldest(std::uint32_t i) const
    {
        for (std::uint32_t each = 0; each < i; ++each) {
            if (m_cluster.at(each).zone == m_cluster.at(i).zone && !m_cluster.at(each).isRemoved && !m_machines[each].successor) {
                return false;
            }
        }
        return true;
    }

    bool hadTimeSince(time_point start) const
    {
        return start == time_point() || m_cluster.now() >= start + m_tolerated.catchUp;
    }

    bool hasCaughtUp(std::uint32_t i) const
    {
        const machine &each = m_machines[i];
        return !each.isDown && hadTimeSince(std::max({each.startedAt, each.backAt, m_powerBackAt}));
    }

    /** A removed machine stops counting once its successor, or the one after that, has had its time. */
    bool isReplaced(std::uint32_t i) const
    {
        const std::optional<std::uint32_t> successor = m_machines[i].successor;
        return successor && (hasCaughtUp(*successor) || (m_cluster.at(*successor).isRemoved && isReplaced(*successor)));
    }

    /** Machines that count as lost, once these are as well. */
    std::set<std::uint32_t> lostMachines(const std::set<std::uint32_t> &more) const
    {
        std::set<std::uint32_t> lost = more;
        for (std::uint32_t i = 0; i < size(); ++i) {
            const bool isOut = m_machines[i].isDown || !hadTimeSince(m_machines[i].backAt);
            const bool stoppedCounting = m_cluster.at(i).isRemoved && isReplaced(i);
            if (isOut && !stoppedCounting) {
                lost.insert(i);
            }
        }
        return lost;
    }

    bool mayLose(const std::set<std::uint32_t> &more) const
    {
        const std::set<std::uint32_t> lost = lostMachines(more);
        std::set<availability_zone_id> zones;
        for (const std::uint32_t each : lost) {
            zones.insert(m_cluster.at(each).zone);
        }
        return lost.size() <= m_tolerated.machines || zones.size() == 1;
    }

    log_cluster m_cluster;
    tolerated_losses m_tolerated;
    std::vector<machine> m_machines;
    time_point m_powerBackAt;
};

} // namespace carawayloft::test_support
