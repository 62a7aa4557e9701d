#include "ends/listening_endpoint.h"

#include <charconv>

namespace carawayloft {

result<asio::ip::tcp::endpoint> parseListeningEndpoint(const endpoint &address)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    std::error_code failure;
    if (colon != std::string::npos) {
        const auto ip = asio::ip::make_address(text.substr(0, colon), failure);
        const char *end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        if (!failure && parsed.ec == std::errc() && parsed.ptr == end) {
            return asio::ip::tcp::endpoint(ip, port);
        }
    }
    return error{error_kind::InvalidSettings, "'" + text + "' is no address", "write it as IP:port, for example 127.0.0.1:7000"};
}

} // namespace carawayloft
