#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/strong_type.h>

#include <flatbuffers/flatbuffers.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

/**
 * FlatBuffers tables for any reflectable struct: field n of fields() stands in vtable slot n.
 * A peer that knows fewer fields ignores the rest, one that knows more reads defaults.
 * A std::variant is a table with its alternative's number in slot 0 and its table in slot 1.
 */
namespace carawayloft::flat {

using builder = flatbuffers::FlatBufferBuilder;
using any_offset = flatbuffers::Offset<void>;

template<class T>
struct is_strong : std::false_type {
};
template<class Tag, class Rep>
struct is_strong<strong_type<Tag, Rep>> : std::true_type {
};
template<class T>
struct is_vector : std::false_type {
};
template<class T>
struct is_vector<std::vector<T>> : std::true_type {
};
template<class T>
struct is_variant : std::false_type {
};
template<class... T>
struct is_variant<std::variant<T...>> : std::true_type {
};
template<class T>
struct is_duration : std::false_type {
};
template<class R, class P>
struct is_duration<std::chrono::duration<R, P>> : std::true_type {
};
template<class T>
struct is_time : std::false_type {
};
template<class C, class D>
struct is_time<std::chrono::time_point<C, D>> : std::true_type {
};

/** Number of a vtable slot in the form FlatBuffers counts it: bytes from the vtable's start. */
constexpr flatbuffers::voffset_t slot(std::size_t position)
{
    return static_cast<flatbuffers::voffset_t>((position + 2) * sizeof(flatbuffers::voffset_t));
}

/** The value that stands on the wire for @p value: the representation of ids, units and enumerations. */
template<class T>
auto toWire(const T &value)
{
    if constexpr (is_strong<T>::value) {
        return toWire(value.value());
    } else if constexpr (is_duration<T>::value) {
        return static_cast<std::int64_t>(value.count());
    } else if constexpr (is_time<T>::value) {
        return static_cast<std::int64_t>(value.time_since_epoch().count());
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<std::underlying_type_t<T>>(value);
    } else if constexpr (std::is_same_v<T, bool>) {
        return static_cast<std::uint8_t>(value);
    } else {
        return value;
    }
}

template<class T>
using wire_type = decltype(toWire(std::declval<const T &>()));

template<class T>
T fromWire(const wire_type<T> &value)
{
    if constexpr (is_strong<T>::value) {
        return T(fromWire<typename T::rep>(value));
    } else if constexpr (is_duration<T>::value) {
        return T(value);
    } else if constexpr (is_time<T>::value) {
        return T(typename T::duration(value));
    } else {
        return static_cast<T>(value);
    }
}

template<class T>
inline constexpr bool isScalar = std::is_arithmetic_v<wire_type<T>>;
template<class T>
inline constexpr bool isText = std::is_same_v<wire_type<T>, std::string>;

template<class T>
flatbuffers::uoffset_t writeObject(builder &out, const T &value);

template<class T>
flatbuffers::uoffset_t writeVector(builder &out, const std::vector<T> &values)
{
    if constexpr (std::is_same_v<T, std::uint8_t>) {
        return out.CreateVector(values).o;
    } else {
        std::vector<any_offset> offsets;
        offsets.reserve(values.size());
        for (const T &each : values) {
            offsets.emplace_back(writeObject(out, each));
        }
        return out.CreateVector(offsets).o;
    }
}

template<class... T>
flatbuffers::uoffset_t writeVariant(builder &out, const std::variant<T...> &value)
{
    const flatbuffers::uoffset_t body = std::visit([&](const auto &alternative) { return writeObject(out, alternative); }, value);
    const auto start = out.StartTable();
    out.AddElement<std::uint16_t>(slot(0), static_cast<std::uint16_t>(value.index() + 1), 0);
    out.AddOffset(slot(1), any_offset(body));
    return out.EndTable(start);
}

template<class T>
flatbuffers::uoffset_t writeTable(builder &out, const T &value)
{
    std::vector<flatbuffers::uoffset_t> offsets;
    forEachField(value, [&](std::string_view, const auto &member) {
        using member_type = std::decay_t<decltype(member)>;
        if constexpr (isScalar<member_type>) {
            offsets.push_back(0);
        } else {
            offsets.push_back(writeObject(out, member));
        }
    });
    const auto start = out.StartTable();
    std::size_t position = 0;
    forEachField(value, [&](std::string_view, const auto &member) {
        using member_type = std::decay_t<decltype(member)>;
        if constexpr (isScalar<member_type>) {
            out.AddElement(slot(position), toWire(member), wire_type<member_type>{});
        } else {
            out.AddOffset(slot(position), any_offset(offsets[position]));
        }
        ++position;
    });
    return out.EndTable(start);
}

template<class T>
flatbuffers::uoffset_t writeObject(builder &out, const T &value)
{
    if constexpr (is_vector<T>::value) {
        return writeVector(out, value);
    } else if constexpr (is_variant<T>::value) {
        return writeVariant(out, value);
    } else if constexpr (reflectable<T>) {
        return writeTable(out, value);
    } else {
        return out.CreateString(toWire(value)).o;
    }
}

/** Verifies and reads one buffer; any step that fails marks the whole read as failed. */
class reader
{
public:
    reader(const std::uint8_t *data, std::size_t size)
        : m_verifier(data, size, maxDepth)
        , m_start(data)
    {
    }

    template<class T>
    bool readTable(const flatbuffers::Table *table, T &value)
    {
        if (table == nullptr || !table->VerifyTableStart(m_verifier)) {
            return false;
        }
        bool ok = true;
        std::size_t position = 0;
        forEachField(value, [&](std::string_view, auto &member) {
            ok = ok && readField(table, slot(position), member);
            ++position;
        });
        m_verifier.EndTable();
        return ok;
    }

    template<class... T>
    bool readVariant(const flatbuffers::Table *table, std::variant<T...> &value)
    {
        if (table == nullptr || !table->VerifyTableStart(m_verifier) || !table->VerifyField<std::uint16_t>(m_verifier, slot(0), sizeof(std::uint16_t))
            || !table->VerifyOffset(m_verifier, slot(1))) {
            return false;
        }
        const auto number = table->GetField<std::uint16_t>(slot(0), 0);
        const auto *body = table->GetPointer<const flatbuffers::Table *>(slot(1));
        const bool ok = readAlternative(number, body, value, std::index_sequence_for<T...>());
        m_verifier.EndTable();
        return ok;
    }

private:
    static constexpr flatbuffers::uoffset_t maxDepth = 32;

    template<class... T, std::size_t... Index>
    bool readAlternative(std::size_t number, const flatbuffers::Table *body, std::variant<T...> &value, std::index_sequence<Index...>)
    {
        bool found = false;
        (void)((number == Index + 1 ? (found = readTable(body, value.template emplace<Index>()), true) : false) || ...);
        return found;
    }

    template<class T>
    bool readField(const flatbuffers::Table *table, flatbuffers::voffset_t at, T &member)
    {
        if constexpr (isScalar<T>) {
            if (!table->VerifyField<wire_type<T>>(m_verifier, at, sizeof(wire_type<T>))) {
                return false;
            }
            member = fromWire<T>(table->GetField<wire_type<T>>(at, wire_type<T>{}));
            return true;
        } else {
            if (!table->VerifyOffset(m_verifier, at)) {
                return false;
            }
            if (table->GetOptionalFieldOffset(at) == 0) {
                member = T();
                return true;
            }
            return readObject(table, at, member);
        }
    }

    template<class T>
    bool readObject(const flatbuffers::Table *table, flatbuffers::voffset_t at, T &member)
    {
        if constexpr (is_vector<T>::value) {
            return readVector(table, at, member);
        } else if constexpr (is_variant<T>::value) {
            return readVariant(table->GetPointer<const flatbuffers::Table *>(at), member);
        } else if constexpr (reflectable<T>) {
            return readTable(table->GetPointer<const flatbuffers::Table *>(at), member);
        } else {
            const auto *text = table->GetPointer<const flatbuffers::String *>(at);
            return readText(text, member);
        }
    }

    template<class T>
    bool readText(const flatbuffers::String *text, T &member)
    {
        if (!m_verifier.VerifyString(text)) {
            return false;
        }
        member = fromWire<T>(text->str());
        return true;
    }

    template<class T>
    bool readVector(const flatbuffers::Table *table, flatbuffers::voffset_t at, std::vector<T> &values)
    {
        if constexpr (std::is_same_v<T, std::uint8_t>) {
            const auto *bytes = table->GetPointer<const flatbuffers::Vector<std::uint8_t> *>(at);
            if (!m_verifier.VerifyVector(bytes)) {
                return false;
            }
            values.assign(bytes->begin(), bytes->end());
            return true;
        } else {
            using element = std::conditional_t<isText<T>, flatbuffers::String, flatbuffers::Table>;
            const auto *items = table->GetPointer<const flatbuffers::Vector<flatbuffers::Offset<element>> *>(at);
            if (!m_verifier.VerifyVector(items)) {
                return false;
            }
            values.reserve(items->size());
            for (flatbuffers::uoffset_t i = 0; i < items->size(); ++i) {
                const auto *cell = items->Data() + i * sizeof(flatbuffers::uoffset_t);
                if (m_verifier.VerifyOffset(static_cast<std::size_t>(cell - m_start)) == 0 || !readElement(items->Get(i), values.emplace_back())) {
                    return false;
                }
            }
            return true;
        }
    }

    template<class T>
    bool readElement(const flatbuffers::String *text, T &value)
    {
        return readText(text, value);
    }

    template<class T>
    bool readElement(const flatbuffers::Table *table, T &value)
    {
        if constexpr (is_variant<T>::value) {
            return readVariant(table, value);
        } else {
            return readTable(table, value);
        }
    }

    flatbuffers::Verifier m_verifier;
    const std::uint8_t *m_start;
};

/** Encodes a reflectable struct or a variant of them. */
template<class T>
std::vector<std::uint8_t> encode(const T &value)
{
    builder out(256);
    out.Finish(any_offset(writeObject(out, value)));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

/** Decodes what encode() wrote; nothing when any byte of it fails verification. */
template<class T>
std::optional<T> decode(const std::uint8_t *data, std::size_t size)
{
    if (size < sizeof(flatbuffers::uoffset_t)) {
        return std::nullopt;
    }
    std::vector<std::uint8_t> aligned;
    if (reinterpret_cast<std::uintptr_t>(data) % alignof(std::max_align_t) != 0) {
        aligned.assign(data, data + size);
        data = aligned.data();
    }
    const auto root = flatbuffers::ReadScalar<flatbuffers::uoffset_t>(data);
    if (root < sizeof(flatbuffers::uoffset_t) || root > size - sizeof(flatbuffers::soffset_t) || root % sizeof(flatbuffers::soffset_t) != 0) {
        return std::nullopt;
    }
    reader in(data, size);
    const auto *table = reinterpret_cast<const flatbuffers::Table *>(data + root);
    T value{};
    bool ok = false;
    if constexpr (is_variant<T>::value) {
        ok = in.readVariant(table, value);
    } else {
        ok = in.readTable(table, value);
    }
    return ok ? std::optional<T>(std::move(value)) : std::nullopt;
}

template<class T>
std::optional<T> decode(const std::vector<std::uint8_t> &bytes)
{
    return decode<T>(bytes.data(), bytes.size());
}

} // namespace carawayloft::flat
