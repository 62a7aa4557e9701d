#pragma once

#include <cstdint>

namespace carawayloft {

/** What makes bytes of a server no answer in HTTP/1.1 (RFC 9112) that can be believed. */
enum class answer_fault : std::uint8_t {
    StatusLine, /**< No status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599, or a change of protocol. */
    FieldName, /**< A field without a name that is a token. */
    FieldValue, /**< A control byte in the value of a field. */
    Framing, /**< The head states no usable length of the body, or several. */
    Chunk, /**< A chunk of the body that is none. */
    Trailer, /**< A line behind the last chunk that is no field. */
    TooLong, /**< More bytes of heads, or of trailers, than are read. */
    Unreadable, /**< Rejected by libcurl. */
};

/** Name of @p fault as a label in logs and metrics. */
constexpr const char *name(answer_fault fault)
{
    switch (fault) {
    case answer_fault::StatusLine:
        return "status_line";
    case answer_fault::FieldName:
        return "field_name";
    case answer_fault::FieldValue:
        return "field_value";
    case answer_fault::Framing:
        return "framing";
    case answer_fault::Chunk:
        return "chunk";
    case answer_fault::Trailer:
        return "trailer";
    case answer_fault::TooLong:
        return "too_long";
    case answer_fault::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

/** @p fault as a sentence for errors. */
constexpr const char *describe(answer_fault fault)
{
    switch (fault) {
    case answer_fault::StatusLine:
        return "the status line of the answer is malformed";
    case answer_fault::FieldName:
        return "a field name in the head of the answer is malformed";
    case answer_fault::FieldValue:
        return "a field value in the head of the answer is malformed";
    case answer_fault::Framing:
        return "the head of the answer states no usable length of the body";
    case answer_fault::Chunk:
        return "a chunk of the answer is malformed";
    case answer_fault::Trailer:
        return "a trailer of the answer is malformed";
    case answer_fault::TooLong:
        return "the head of the answer is too long";
    case answer_fault::Unreadable:
        return "the answer is not HTTP";
    }
    return "the answer is malformed";
}

} // namespace carawayloft
