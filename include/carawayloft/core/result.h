#pragma once

#include <carawayloft/core/error.h>

#include <variant>

namespace carawayloft {

/** Either a value or the error that prevented it. */
template<class T>
using result = std::variant<T, error>;

/** Result of an operation that returns no value. */
using status = result<std::monostate>;

template<class T>
bool failed(const result<T> &outcome)
{
    return std::holds_alternative<error>(outcome);
}

template<class T>
T &valueOf(result<T> &outcome)
{
    return std::get<T>(outcome);
}

template<class T>
const T &valueOf(const result<T> &outcome)
{
    return std::get<T>(outcome);
}

template<class T>
const error &errorOf(const result<T> &outcome)
{
    return std::get<error>(outcome);
}

} // namespace carawayloft
