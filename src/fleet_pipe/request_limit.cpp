#include <carawayloft/fleet/request_limit.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Share by which a limit may change unnoticed, so that a server that adjusts it with every answer does not flood the fleet. */
static constexpr double toleratedChange = 0.05;

bool requestLimitsDiffer(double left, double right)
{
    return (left > 0.0) != (right > 0.0) || std::abs(left - right) > toleratedChange * std::max(left, right);
}

} // namespace carawayloft
