#pragma once

#include "codec/flat_codec.h"

#include <random>

namespace carawayloft::test_support {

/** Fills any reflectable struct, variant, vector, id or number with values drawn from @p random. */
template<class T>
void fillRandomly(T &value, std::mt19937_64 &random);

template<class... T>
void fillVariant(std::variant<T...> &value, std::mt19937_64 &random)
{
    const std::size_t chosen = random() % sizeof...(T);
    std::size_t index = 0;
    ((index++ == chosen ? fillRandomly(value.template emplace<T>(), random) : void()), ...);
}

template<class T>
void fillRandomly(T &value, std::mt19937_64 &random)
{
    if constexpr (flat::is_vector<T>::value) {
        value.resize(random() % 4);
        for (auto &each : value) {
            fillRandomly(each, random);
        }
    } else if constexpr (flat::is_variant<T>::value) {
        fillVariant(value, random);
    } else if constexpr (reflectable<T>) {
        forEachField(value, [&](std::string_view, auto &member) { fillRandomly(member, random); });
    } else if constexpr (flat::isText<T>) {
        std::string text(random() % 12, '\0');
        for (char &each : text) {
            each = static_cast<char>(random());
        }
        value = flat::fromWire<T>(text);
    } else if constexpr (std::is_same_v<T, bool>) {
        value = random() % 2 == 0;
    } else if constexpr (std::is_enum_v<T>) {
        value = static_cast<T>(random() % 2);
    } else {
        value = flat::fromWire<T>(static_cast<flat::wire_type<T>>(random()));
    }
}

} // namespace carawayloft::test_support
