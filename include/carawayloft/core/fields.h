#pragma once

#include <string_view>
#include <tuple>
#include <type_traits>

namespace carawayloft {

/** A named member of a message struct. Its position in fields() is its field number on the wire. */
template<class Owner, class Member>
struct field {
    std::string_view name;
    Member Owner::*member;
};

template<class Owner, class Member>
field(const char *, Member Owner::*) -> field<Owner, Member>;

/** A struct that lists its members in a static fields(); the codecs are generic over such structs. */
template<class T>
concept reflectable = requires
{
    T::fields();
};

/** Calls @p visitor(name, member) for each field of @p object, in wire order. */
template<reflectable T, class Visitor>
void forEachField(T &object, Visitor &&visitor)
{
    std::apply([&](const auto &...each) { (visitor(each.name, object.*(each.member)), ...); }, std::remove_const_t<T>::fields());
}

} // namespace carawayloft
