#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <map>
#include <optional>
#include <vector>

namespace carawayloft {

/** Servers move from groups of one model to groups of another. */
struct regrouping_direction {
    model_id from;
    model_id to;

    friend auto operator<=>(const regrouping_direction &, const regrouping_direction &) = default;
};

/** What the best regrouping in one direction would bring now. */
struct regrouping_gain {
    regrouping_direction direction;
    double gainPerSecond = 0.0; /**< Utility beyond that of the groups as they are; negative if it would be worse. */
};

/**
 * Weighs what a regrouping costs against how long the demand that asks for it lasts. That time is not known in advance, so
 * a regrouping is worth its cost once the gain that was missed without it is as large: the loss is then at most twice that
 * of a decision with knowledge of the future. One that undoes a recent one has to show first that the demand is no wave.
 */
class regrouping_balance
{
public:
    /** Sets the gains of all possible regroupings; directions that are left out start again from nothing. */
    void record(const std::vector<regrouping_gain> &gains, time_point now);

    /** @p cost is the utility lost while the servers join, added up over that time. */
    bool isWorth(const regrouping_direction &direction, double cost, time_point now) const;

    /** The regrouping was carried out. */
    void regrouped(const regrouping_direction &direction, time_point now);

private:
    void recordTurn(const regrouping_direction &direction, time_point now);

    struct missed_gain {
        double sum = 0.0; /**< Of the gain over time. */
        std::optional<time_point> since; /**< Since when there has been a gain without a break. */
    };

    std::map<regrouping_direction, missed_gain> m_missed;
    std::map<regrouping_direction, time_point> m_regroupedAt;
    time_point m_recordedAt;
};

} // namespace carawayloft
