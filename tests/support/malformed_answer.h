#pragma once

#include <string>
#include <vector>

namespace carawayloft::test_support {

/** An answer as bytes, and what a test calls it. */
struct named_answer {
    std::string name;
    std::string bytes;
};

/** An answer with a body of two bytes whose head holds @p lines beside the length; @p lines end with a line end each. */
inline std::string answerWith(const std::string &lines, const std::string &statusLine = "HTTP/1.1 200 OK\r\n")
{
    return statusLine + lines + "Content-Length: 2\r\n\r\nok";
}

/** An answer in chunks; @p body is all behind the head. */
inline std::string chunkedAnswer(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
}

/** Heads with a status below 100, with and without a body, in every framing. */
inline std::vector<named_answer> answersWithStatusBelow100()
{
    std::vector<named_answer> all;
    for (const char *status : {"000", "001", "020", "099"}) {
        const std::string first = std::string("HTTP/1.1 ") + status + " Text\r\n";
        const std::string what = std::string("status '") + status + "'";
        all.push_back({what, answerWith({}, first)});
        all.push_back({what + " without a body", first + "Content-Length: 0\r\n\r\n"});
        all.push_back({what + " in chunks", first + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"});
        all.push_back({what + " without framing", first + "\r\nok"});
        all.push_back({what + " and nothing else", first + "\r\n"});
    }
    return all;
}

/** Heads whose first line is no status line of HTTP/1.0 or HTTP/1.1, or has a status that is none (RFC 9112, section 4; RFC 9110, section 15). */
inline std::vector<named_answer> answersWithoutStatus()
{
    std::vector<named_answer> all;
    for (const char *status : {"600", "999", "1000", "2000", "20", "2", "20x", "abc", "-20", "+200", "0x1", "2 0", " 200", "200OK"}) {
        all.push_back({std::string("status '") + status + "'", answerWith({}, std::string("HTTP/1.1 ") + status + " Text\r\n")});
    }
    for (const char *version :
         {"HTTP/0.9", "HTTP/1.2", "HTTP/1.10", "HTTP/01.1", "HTTP/2", "HTTP/2.0", "HTTP/3", "HTTP/11", "HTTP/", "HTTP", "http/1.1", "HTTPS/1.1", "ICY"}) {
        all.push_back({std::string("version '") + version + "'", answerWith({}, std::string(version) + " 200 OK\r\n")});
    }
    all.push_back({"no status", answerWith({}, "HTTP/1.1\r\n")});
    all.push_back({"an empty status", answerWith({}, "HTTP/1.1 \r\n")});
    all.push_back({"a blank before the version", answerWith({}, " HTTP/1.1 200 OK\r\n")});
    all.push_back({"a tab before the status", answerWith({}, "HTTP/1.1\t200 OK\r\n")});
    all.push_back({"a control byte in the reason", answerWith({}, "HTTP/1.1 200 O\x01K\r\n")});
    all.push_back({"a return in the reason", answerWith({}, "HTTP/1.1 200 O\rK\r\n")});
    all.push_back({"a change of protocol that nobody asked for", answerWith("Upgrade: x\r\n", "HTTP/1.1 101 Switching Protocols\r\n")});
    return all;
}

/** Field names that are no tokens (RFC 9110, section 5.1), and lines that are no fields. */
inline std::vector<named_answer> answersWithBrokenNames()
{
    std::vector<named_answer> all;
    for (const char *name : {"",   " ",  "X Blank", "X-Before ", "X-Tab\t", "X-\x01", "X-\x08", "X-\x1b", "X-\x7f", "X-\xe9", "X(", "X)", "X,",
                             "X/", "X;", "X<",      "X=",        "X>",      "X?",     "X@",     "X[",     "X\\",    "X]",     "X{", "X}", "\"X\""}) {
        all.push_back({std::string("name '") + name + "'", answerWith(std::string("X-First: 1\r\n") + name + ": 1\r\n")});
    }
    all.push_back({"a NUL in a name", answerWith(std::string("X-\0Name: 1\r\n", 12))});
    all.push_back({"a return in a name", answerWith("X-\rName: 1\r\n")});
    all.push_back({"a return before a name", answerWith("\rX-Name: 1\r\n")});
    all.push_back({"a line without a colon", answerWith("X-Name\r\n")});
    all.push_back({"a blank before the first name", answerWith(" X-First: 1\r\n")});
    all.push_back({"a blank before a name", answerWith("X-First: 1\r\n X-Second: 1\r\n")});
    all.push_back({"a tab before a name", answerWith("X-First: 1\r\n\tX-Second: 1\r\n")});
    all.push_back({"a tab before the first name", answerWith("\tX-First: 1\r\n")});
    all.push_back({"a second status line", answerWith("HTTP/1.1 404 Not Found\r\n")});
    all.push_back({"a length with a blank in its name", "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok"});
    all.push_back({"a length with a blank behind its name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"});
    all.push_back({"a second length with a blank behind its name", answerWith("Content-Length : 1\r\n")});
    all.push_back({"a coding with a tab behind its name", answerWith("Transfer-Encoding\t: chunked\r\n")});
    all.push_back({"events under a broken name", answerWith("Content-Type: text/event-stream\r\nX Blank: 1\r\n")});
    all.push_back({"an informational head with a broken name", "HTTP/1.1 103 Early Hints\r\nX Blank: 1\r\n\r\n" + answerWith({})});
    return all;
}

/** Values with control bytes (RFC 9110, section 5.5). */
inline std::vector<named_answer> answersWithBrokenValues()
{
    std::vector<named_answer> all;
    for (const char *value : {"\x01", "a\x02z", "a\x08", "a\x0bz", "a\x0cz", "\x1b[31m", "a\x7f", "a\rz", "a\r"}) {
        all.push_back({std::string("value '") + value + "'", answerWith(std::string("X-Value: ") + value + "\r\n")});
    }
    all.push_back({"a NUL in a value", answerWith(std::string("X-Value: a\0z\r\n", 14))});
    all.push_back({"a control byte in a folded line", answerWith("X-Value: a\r\n b\x01\r\n")});
    all.push_back({"events under a broken value", answerWith("Content-Type: text/event-stream\r\nX-Value: a\x01\r\n")});
    all.push_back({"an informational head with a broken value", "HTTP/1.1 103 Early Hints\r\nX-Value: \x01\r\n\r\n" + answerWith({})});
    return all;
}

/** Heads that do not say how long the body is, or say it twice (RFC 9112, section 6; RFC 9110, section 8.6). */
inline std::vector<named_answer> answersWithBrokenFraming()
{
    std::vector<named_answer> all;
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    for (const char *length : {"",
                               "x",
                               "-2",
                               "+2",
                               "2x",
                               "2 2",
                               "0x2",
                               "2.0",
                               "2;",
                               "2, 3",
                               "2, x",
                               ",",
                               "18446744073709551618",
                               "9223372036854775808",
                               "99999999999999999999999"}) {
        all.push_back({std::string("length '") + length + "'", std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length + "\r\n\r\nok"});
    }
    for (const char *coding : {"", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "xchunked", "chunked;q=1", "\"chunked\"", ","}) {
        all.push_back({std::string("coding '") + coding + "'", std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + coding + "\r\n\r\n" + chunks});
    }
    all.push_back({"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok"});
    all.push_back({"two lengths, the longer first", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok"});
    all.push_back({"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks});
    all.push_back({"chunks and a length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n" + chunks});
    all.push_back({"two codings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks});
    all.push_back({"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks});
    all.push_back({"a folded length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\nok"});
    all.push_back({"a length that goes on in a folded line", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\nok"});
    all.push_back({"a folded coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n" + chunks});
    all.push_back({"a length where there is no body", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok"});
    all.push_back({"chunks where there is no body", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks});
    all.push_back({"an informational head with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + answerWith({})});
    all.push_back({"an informational head with chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + answerWith({})});
    return all;
}

/** Bodies whose chunks are none (RFC 9112, section 7.1). */
inline std::vector<named_answer> answersWithBrokenChunks()
{
    std::vector<named_answer> all;
    for (const char *size :
         {"", "x", "-2", "+2", "0x2", "2x", "2 2", " 2", "2 ", "2,", "2:", "2\x01", "2;a\x01", "2\r", "10000000000000002", "FFFFFFFFFFFFFFFFF"}) {
        all.push_back({std::string("chunk size '") + size + "'", chunkedAnswer(std::string(size) + "\r\nok\r\n0\r\n\r\n")});
    }
    all.push_back({"no line end behind a chunk", chunkedAnswer("2\r\nok0\r\n\r\n")});
    all.push_back({"more bytes than the chunk says", chunkedAnswer("2\r\noken\r\n0\r\n\r\n")});
    all.push_back({"a return alone behind a chunk", chunkedAnswer("2\r\nok\r0\r\n\r\n")});
    all.push_back({"a last chunk that says 0x0", chunkedAnswer("2\r\nok\r\n0x0\r\n\r\n")});
    all.push_back({"a size without end", chunkedAnswer("2;" + std::string(8'192, 'x') + "\r\nok\r\n0\r\n\r\n")});
    return all;
}

/** Trailers that are no fields (RFC 9112, section 7.1.2). */
inline std::vector<named_answer> answersWithBrokenTrailers()
{
    std::vector<named_answer> all;
    for (const char *line : {": 1", "X Blank: 1", "X-Before : 1", "X-\x01: 1", "X-Value: \x01", "X-Name", " X-First: 1", "\rX: 1"}) {
        all.push_back({std::string("trailer '") + line + "'", chunkedAnswer(std::string("2\r\nok\r\n0\r\n") + line + "\r\n\r\n")});
    }
    return all;
}

/** An answer in a rare form that HTTP allows, and what a caller gets of it. */
struct rare_answer {
    named_answer answer;
    std::uint32_t status = 200;
    std::string value{}; /**< Of the field X-Value; empty without it. */
    std::string body{"ok"};
};

/** Sound answers in rare forms, all with a body but for the last ones. */
inline std::vector<rare_answer> rareAnswers()
{
    return {
        {{"a long reason", answerWith({}, "HTTP/1.1 200 " + std::string(2'000, 'x') + "\r\n")}},
        {{"an empty reason", answerWith({}, "HTTP/1.1 200 \r\n")}},
        {{"no reason and no blank", answerWith({}, "HTTP/1.1 200\r\n")}},
        {{"bytes above 0x7f in the reason", answerWith({}, "HTTP/1.1 200 \xc3\xa9\xff\t!\r\n")}},
        {{"a status without a meaning of its own", answerWith({}, "HTTP/1.1 299 Odd\r\n")}, 299},
        {{"the highest status", answerWith({}, "HTTP/1.1 599 Odd\r\n")}, 599},
        {{"HTTP/1.0", answerWith({}, "HTTP/1.0 200 OK\r\n")}},
        {{"bytes above 0x7f in a value", answerWith("X-Value: caf\xe9 \xc3\xa9\r\n")}, 200, "caf\xe9 \xc3\xa9"},
        {{"an empty value", answerWith("X-Empty:\r\nX-Value: 1\r\n")}, 200, "1"},
        {{"blanks around a value", answerWith("X-Value: \t  a \t b \t \r\n")}, 200, "a \t b"},
        {{"no blank before a value", answerWith("X-Value:a:b\r\n")}, 200, "a:b"},
        {{"every byte of a token", answerWith("!#$%&'*+-.^_`|~09azAZ: 1\r\nX-Value: 1\r\n")}, 200, "1"},
        {{"a name twice", answerWith("X-Value: 1\r\nx-value: 2\r\n")}, 200, "1, 2"},
        {{"a folded line", answerWith("X-Value: a\r\n \t b\r\n\tc\r\nX-Other: 1\r\n")}, 200, "a b c"},
        {{"a folded date", answerWith("X-Value: Mon,\r\n 07 Dec 2026 03:46:40 GMT\r\n")}, 200, "Mon, 07 Dec 2026 03:46:40 GMT"},
        {{"line feeds alone", "HTTP/1.1 200 OK\nX-Value: 1\nContent-Length: 2\n\nok"}, 200, "1"},
        {{"a length with zeros before it", "HTTP/1.1 200 OK\r\ncontent-LENGTH: 0002\r\n\r\nok"}},
        {{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"}},
        {{"the same length as a list", "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok"}},
        {{"chunks in capitals", "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}},
        {{"a list of codings with empty elements", "HTTP/1.1 200 OK\r\nTransfer-Encoding: , chunked,\r\n\r\n2\r\nok\r\n0\r\n\r\n"}},
        {{"a chunk size with zeros before it", chunkedAnswer("0000000000000002\r\nok\r\n000\r\n\r\n")}},
        {{"chunk sizes in both cases", chunkedAnswer("0a\r\n0123456789\r\n0A\r\n0123456789\r\n0\r\n\r\n")}, 200, {}, "01234567890123456789"},
        {{"chunk extensions", chunkedAnswer("1;a=b;c=\"d e\"\r\no\r\n1 ; f\r\nk\r\n0;g\r\n\r\n")}},
        {{"line feeds alone between chunks", chunkedAnswer("1\no\n1\nk\n0\n\n")}},
        {{"trailers", chunkedAnswer("2\r\nok\r\n0\r\nX-Value: late\r\nX-Empty:\r\n\r\n")}},
        {{"trailers behind an empty body", chunkedAnswer("0\r\nX-Value: late\r\n\r\n")}, 200, {}, {}},
        {{"informational heads before the answer",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Value: early\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" + answerWith({})}},
        {{"no content", "HTTP/1.1 204 No Content\r\nX-Value: 1\r\n\r\n"}, 204, "1", {}},
        {{"no content of length zero", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"}, 204, {}, {}},
        {{"not modified, with the length of what was not sent", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"}, 304, {}, {}},
        {{"not modified, with the coding of what was not sent", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"}, 304, {}, {}},
    };
}

} // namespace carawayloft::test_support
