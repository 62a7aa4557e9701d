#pragma once

#include <carawayloft/core/units.h>

namespace carawayloft {

/**
 * Monotonic time that also counts while the machine is suspended, so that a lease that ran out in the
 * meantime is over when the process goes on.
 */
time_point monotonicNow();

} // namespace carawayloft
