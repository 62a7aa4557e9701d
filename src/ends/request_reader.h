#pragma once

#include "ends/http_limits.h"
#include "ends/http_types.h"
#include "ends/request_body.h"

#include <http_parser.h>

#include <string>
#include <string_view>
#include <variant>

namespace carawayloft {

/** All bytes were taken and the request is not whole. */
struct request_incomplete {
};

/** A whole request. Bytes behind it were not taken. */
struct request_read {
    http_request request;
    bool keepAlive = false;
};

/** No request can be read here any more; the status says why. */
struct request_unreadable {
    std::uint32_t status = 400;
    std::string reason;
};

using request_reading = std::variant<request_incomplete, request_read, request_unreadable>;

/** Turns the bytes of one connection into requests, within limits. No socket and no clock. */
class request_reader
{
public:
    explicit request_reader(const http_limits &limits);

    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    /** Takes bytes from the start of @p bytes, up to the end of a request. Not to be called after request_unreadable. */
    request_reading read(std::string_view &bytes);

    /** Whether a byte of a request has come that is not whole. */
    bool hasBegun() const
    {
        return m_begun;
    }

    bool hasHeaders() const
    {
        return m_hasHeaders;
    }

    /** Bytes of the body that have come. */
    std::size_t bodyBytes() const
    {
        return m_body.size();
    }

    /** Memory that the request takes. */
    std::size_t heldBytes() const
    {
        return m_headerMemory + m_body.heldBytes();
    }

    /** Gives up what has come of a request. */
    void clear();

private:
    static const http_parser_settings &callbacks();
    static request_reader &self(http_parser *parser);

    int addTarget(std::string_view bytes);
    int addFieldName(std::string_view bytes);
    int addFieldValue(std::string_view bytes);
    int endHeaders();
    int addBody(std::string_view bytes);
    int refuse(std::uint32_t status, const char *reason);
    bool countHeaderBytes(std::size_t bytes);
    void storeField();

    http_limits m_limits;
    http_parser m_parser{};
    http_request m_request;
    request_body m_body;
    std::string m_target;
    std::string m_fieldName;
    std::string m_fieldValue;
    bool m_inValue = false;
    bool m_begun = false;
    bool m_hasHeaders = false;
    bool m_whole = false;
    bool m_keepAlive = false;
    std::size_t m_fields = 0;
    std::size_t m_headerBytes = 0;
    std::size_t m_headerMemory = 0;
    request_unreadable m_refusal;
};

} // namespace carawayloft
