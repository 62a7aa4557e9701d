#pragma once

namespace carawayloft {

/** A visitor made of lambdas, one for each alternative. */
template<class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};

template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace carawayloft
