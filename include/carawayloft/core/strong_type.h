#pragma once

#include <carawayloft/core/utf8.h>

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
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

/**
 * An id that is text. It always holds well-formed UTF-8, so that each message, list and log line can contain it: bytes that
 * are not are escaped as "%XX". What other programs send is checked by parseId() before it becomes an id.
 */
template<class Tag>
class strong_type<Tag, std::string>
{
public:
    using rep = std::string;

    strong_type() = default;
    explicit strong_type(std::string text)
        : m_value(escapeNonUtf8(std::move(text)))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    friend auto operator<=>(const strong_type &, const strong_type &) = default;

private:
    std::string m_value;
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
