#include "process/raw_request.h"

namespace carawayloft::test_support {

std::string requestIdLine(const std::string &head)
{
    const std::size_t begin = head.find("X-Carawayloft-Request-Id: ");
    return begin == std::string::npos ? std::string() : head.substr(begin, head.find("\r\n", begin) + 2 - begin);
}

} // namespace carawayloft::test_support
