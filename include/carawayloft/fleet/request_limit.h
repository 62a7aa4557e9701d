#pragma once

namespace carawayloft {

/** Requests per second that a server gets whatever limit it names, since only an answer can say that the limit is gone. */
inline constexpr double minRequestLimit = 0.1;

/** Whether two limits, in requests per second and zero for none, differ by enough to tell other processes. */
bool requestLimitsDiffer(double left, double right);

} // namespace carawayloft
