// Servers' answers: any bytes are rejected or give the same answer wherever the network splits the body, and a head that is
// taken can be written out again.

#include "fuzz_target.h"

#include "ends/answer_reader.h"
#include "ends/http_response_head.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <string>

using namespace carawayloft;

/** Whether the head can be sent on, without the fields that concern one connection alone. */
static void check(const answer_head &head)
{
    if (failed(encodeHead({head.status, endToEndHeaders(head.headers), {}}, true, {}))) {
        std::abort();
    }
}

/** The answer in @p bytes as text, its body read @p piece bytes at a time; a fault ends it. */
static std::string readAll(std::string_view bytes, std::size_t piece)
{
    answer_reader reader(false);
    while (!reader.hasHead() && !bytes.empty()) {
        const std::string_view line = bytes.substr(0, std::min(bytes.find('\n'), bytes.size() - 1) + 1);
        if (const auto fault = reader.addHeadLine(line)) {
            return name(*fault);
        }
        bytes.remove_prefix(line.size());
    }
    if (!reader.hasHead()) {
        return "incomplete";
    }
    check(reader.head());
    std::string all = std::to_string(reader.head().status) + "\n";
    while (!bytes.empty()) {
        const std::string_view part = bytes.substr(0, piece);
        const auto read = reader.addBody(part);
        if (const auto *fault = std::get_if<answer_fault>(&read)) {
            return name(*fault);
        }
        all += std::get<std::string>(read);
        bytes.remove_prefix(part.size());
    }
    return all + (reader.isWhole() ? "\nwhole" : "\ncut") + (reader.hasExcess() ? " and more" : "");
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
    return {bytesOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n c\r\n\r\nokmore"),
            bytesOf("HTTP/1.0 404 \nContent-Type: text/plain\n\nuntil the end"),
            bytesOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"),
            bytesOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nX-T: u\r\n\r\nmore"),
            bytesOf("HTTP/1.1 200 OK\r\nConnection: close, X-Once\r\nX-Once: 1\r\nKeep-Alive: timeout=4\r\n\r\n")};
}
