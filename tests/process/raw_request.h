#pragma once

#include <string>

namespace carawayloft::test_support {

/** The header line with the id of a request, with its line end, from the head of the request; empty for an order, which has none. */
std::string requestIdLine(const std::string &head);

} // namespace carawayloft::test_support
