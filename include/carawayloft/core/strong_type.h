#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace carawayloft {

/** A @p Rep that does not convert to a strong type of another @p Tag. It changes only by assignment of a whole value. */
template<class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep &value() const
    {
        return m_value;
    }

    friend auto operator<=>(const strong_type &, const strong_type &) = default;

private:
    Rep m_value{};
};

/** The id that follows @p id in counting order. */
template<class Tag, class Rep>
constexpr strong_type<Tag, Rep> next(const strong_type<Tag, Rep> &id)
{
    return strong_type<Tag, Rep>(id.value() + 1);
}

} // namespace carawayloft

template<class Tag, class Rep>
struct std::hash<carawayloft::strong_type<Tag, Rep>> {
    std::size_t operator()(const carawayloft::strong_type<Tag, Rep> &id) const
    {
        return std::hash<Rep>()(id.value());
    }
};
