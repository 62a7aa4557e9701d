#pragma once

#include <type_traits>

namespace carawayloft {

/**
 * A number from Range::least to Range::greatest, so that arithmetic on it stays finite. A number outside the range becomes the
 * nearest one in it, and one that is not a number the least; contains() tells that beforehand.
 */
template<class Range>
class bounded_number
{
public:
    using rep = std::remove_const_t<decltype(Range::least)>;

    constexpr bounded_number() = default;
    constexpr bounded_number(rep stated)
        : m_value(nearest(stated))
    {
    }

    constexpr operator rep() const
    {
        return m_value;
    }
    constexpr rep value() const
    {
        return m_value;
    }

    static constexpr bool contains(rep stated)
    {
        return stated >= Range::least && stated <= Range::greatest;
    }

private:
    static constexpr rep nearest(rep stated)
    {
        if (!(stated > Range::least)) {
            return Range::least;
        }
        return stated < Range::greatest ? stated : Range::greatest;
    }

    rep m_value = Range::least;
};

} // namespace carawayloft
