// Callers' requests: any bytes are refused or give the same requests wherever the network splits them, within the limits,
// and never one with a length beside chunks.

#include "fuzz_target.h"

#include "ends/request_reader.h"

#include <carawayloft/core/overloaded.h>

#include <cstdlib>
#include <optional>
#include <string>

using namespace carawayloft;

static http_limits smallLimits()
{
    http_limits limits;
    limits.maxHeaderBytes = 512;
    limits.maxHeaders = 8;
    limits.maxBodyBytes = 256;
    return limits;
}

static void check(const http_request &request)
{
    const bool hasTwoFramings = request.headers.contains("Content-Length") && request.headers.contains("Transfer-Encoding");
    if (hasTwoFramings || request.body.size() > smallLimits().maxBodyBytes || request.headers.size() > smallLimits().maxHeaders) {
        std::abort();
    }
}

/** The requests in @p bytes, read @p piece bytes at a time, as one text; "refused" ends it where they cannot be read on. */
static std::string readAll(std::string_view bytes, std::size_t piece)
{
    std::string all;
    request_reader reader(smallLimits());
    while (!bytes.empty()) {
        std::string_view part = bytes.substr(0, piece);
        bytes.remove_prefix(part.size());
        while (!part.empty()) {
            const bool isRefused = std::visit(overloaded{
                                                  [](const request_incomplete &) { return false; },
                                                  [&](const request_read &each) {
                                                      check(each.request);
                                                      all += each.request.method + " " + each.request.path + "?" + each.request.query + "\n";
                                                      for (const auto &[name, value] : each.request.headers) {
                                                          all += name + ": " + value + "\n";
                                                      }
                                                      all += each.request.body + "\n";
                                                      return false;
                                                  },
                                                  [](const request_unreadable &) { return true; },
                                              },
                                              reader.read(part));
            if (isRefused) {
                return all + "refused";
            }
        }
    }
    return all;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(data, data + size);
    const std::string whole = readAll(bytes, bytes.size() + 1);
    if (readAll(bytes, 1) != whole || readAll(bytes, 7) != whole) {
        std::abort();
    }
    return 0;
}

std::vector<std::vector<std::uint8_t>> fuzzSeeds()
{
    return {bytesOf("GET /a?b=c HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n\r\n"),
            bytesOf("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.0\r\n\r\n"),
            bytesOf("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nT: u\r\n\r\n"),
            bytesOf("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
            bytesOf("POST /a HTTP/1.1\r\nContent-Length: 300\r\n\r\n" + std::string(300, 'x')),
            bytesOf("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n90\r\n" + std::string(144, 'x') + "\r\n90\r\n" + std::string(144, 'y')
                    + "\r\n0\r\n\r\n"),
            bytesOf("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n\r\nGET /3?#x HTTP/1.1\r\n\r\n"),
            bytesOf("CONNECT h:1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nabPUT http://h/a%20b HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")};
}
