#pragma once

#include <carawayloft/core/units.h>

#include <concepts>
#include <vector>

namespace carawayloft {

/**
 * A stage of a pipe: a value with its own state and no socket, clock or thread.
 * step() takes one input at a given time and returns what follows from it, in order.
 */
template<class F>
concept filter = requires(F stage, const typename F::input &in, time_point now)
{
    {
        stage.step(in, now)
        } -> std::same_as<std::vector<typename F::output>>;
};

} // namespace carawayloft
