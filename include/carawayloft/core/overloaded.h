#pragma once

namespace carawayloft {

/** Combines lambdas, one for each alternative of a std::variant, into one visitor. */
template<class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};

template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace carawayloft
