#pragma once

#include <string_view>
#include <tuple>
#include <type_traits>

namespace carawayloft {

/** A named member of a message struct; the position in fields() is its number on the wire. */
template<class Owner, class Member>
struct field {
    std::string_view name;
    Member Owner::*member;
};

template<class Owner, class Member>
field(const char *, Member Owner::*) -> field<Owner, Member>;

/** A struct that lists its members by a static fields(); codecs are written once against it. */
template<class T>
concept reflectable = requires
{
    T::fields();
};

/** Calls @p visit(name, member) for each field of @p object, in wire order. */
template<reflectable T, class Visit>
void forEachField(T &object, Visit &&visit)
{
    std::apply([&](const auto &...each) { (visit(each.name, object.*(each.member)), ...); }, std::remove_const_t<T>::fields());
}

} // namespace carawayloft
