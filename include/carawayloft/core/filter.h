#pragma once

#include <carawayloft/core/units.h>

#include <concepts>
#include <vector>

namespace carawayloft {

/**
 * A stage of a pipe: a value type with its own state that uses no socket, clock or thread.
 * step() takes one input and the current time, and returns the resulting outputs in order.
 */
template<class F>
concept filter = requires(F stage, const typename F::input &in, time_point now)
{
    {
        stage.step(in, now)
        } -> std::same_as<std::vector<typename F::output>>;
};

} // namespace carawayloft
