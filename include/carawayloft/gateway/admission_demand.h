#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <cstddef>
#include <vector>

namespace carawayloft {

/** First attempts for one model at all gateways, in order of rank and account. */
class admission_demand
{
public:
    /** The classes of one rank: the positions from begin to before end in classes(). */
    struct rank_classes {
        request_rank rank;
        std::size_t begin = 0;
        std::size_t end = 0;
        double requestsPerSecond = 0.0;
    };

    admission_demand() = default;

    /** @p classes are of one model. Leaves out rates that are not positive numbers. */
    explicit admission_demand(std::vector<class_demand> classes);

    const std::vector<class_demand> &classes() const
    {
        return m_classes;
    }
    /** Highest rank first. */
    const std::vector<rank_classes> &ranks() const
    {
        return m_ranks;
    }
    double requestsPerSecond() const
    {
        return m_total;
    }

private:
    std::vector<class_demand> m_classes; /**< Within a rank, the sum over accounts without an entry comes last. */
    std::vector<rank_classes> m_ranks;
    double m_total = 0.0;
};

} // namespace carawayloft
