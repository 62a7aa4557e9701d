#include "ends/request_reader.h"

namespace carawayloft {

/** Memory of a header beside its bytes: two strings and a node of the map. */
static constexpr std::size_t fieldOverhead = 128;

request_reader::request_reader(const http_limits &limits)
    : m_limits(limits)
{
    clear();
}

void request_reader::clear()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    m_request = {};
    m_body = {};
    m_target = {};
    m_fieldName = {};
    m_fieldValue = {};
    m_inValue = false;
    m_begun = false;
    m_hasHeaders = false;
    m_whole = false;
    m_fields = 0;
    m_headerBytes = 0;
    m_headerMemory = 0;
    m_refusal = {};
}

request_reader &request_reader::self(http_parser *parser)
{
    return *static_cast<request_reader *>(parser->data);
}

const http_parser_settings &request_reader::callbacks()
{
    static const http_parser_settings all = [] {
        http_parser_settings out;
        http_parser_settings_init(&out);
        out.on_message_begin = [](http_parser *parser) {
            self(parser).m_begun = true;
            return 0;
        };
        out.on_url = [](http_parser *parser, const char *at, std::size_t size) { return self(parser).addTarget({at, size}); };
        out.on_header_field = [](http_parser *parser, const char *at, std::size_t size) { return self(parser).addFieldName({at, size}); };
        out.on_header_value = [](http_parser *parser, const char *at, std::size_t size) { return self(parser).addFieldValue({at, size}); };
        out.on_headers_complete = [](http_parser *parser) { return self(parser).endHeaders(); };
        out.on_body = [](http_parser *parser, const char *at, std::size_t size) { return self(parser).addBody({at, size}); };
        out.on_message_complete = [](http_parser *parser) {
            request_reader &reader = self(parser);
            reader.m_whole = true;
            reader.m_keepAlive = http_should_keep_alive(parser) != 0;
            http_parser_pause(parser, 1); // What follows belongs to the next request.
            return 0;
        };
        return out;
    }();
    return all;
}

request_reading request_reader::read(std::string_view &bytes)
{
    const std::size_t taken = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (m_whole) {
        bytes.remove_prefix(taken);
        request_read out{std::move(m_request), m_keepAlive};
        out.request.method = http_method_str(static_cast<http_method>(m_parser.method));
        const std::size_t mark = m_target.find('?');
        out.request.path = m_target.substr(0, mark);
        out.request.query = mark == std::string::npos ? std::string() : m_target.substr(mark + 1);
        out.request.hasEmptyQuery = mark != std::string::npos && out.request.query.empty();
        out.request.body = m_body.take();
        clear();
        return out;
    }
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_OK) {
        bytes = {};
        return request_incomplete{};
    }
    if (m_refusal.reason.empty()) {
        const http_errno failure = HTTP_PARSER_ERRNO(&m_parser);
        const bool isTooLong = failure == HPE_HEADER_OVERFLOW;
        m_refusal = {isTooLong ? 431U : 400U, http_errno_description(failure)};
    }
    return m_refusal;
}

int request_reader::refuse(std::uint32_t status, const char *reason)
{
    m_refusal = {status, reason};
    return -1;
}

bool request_reader::countHeaderBytes(std::size_t bytes)
{
    m_headerBytes += bytes;
    m_headerMemory += 2 * bytes; // A string that grows has room for as much again.
    return m_headerBytes <= m_limits.maxHeaderBytes;
}

int request_reader::addTarget(std::string_view bytes)
{
    if (m_target.size() + bytes.size() > m_limits.maxHeaderBytes) {
        return refuse(414, "the target is too long");
    }
    if (bytes.find('#') != std::string_view::npos) {
        return refuse(400, "the target has a fragment"); // It would not reach the server (RFC 9110, section 4.2.5).
    }
    m_headerMemory += 2 * bytes.size();
    m_target += bytes;
    return 0;
}

int request_reader::addFieldName(std::string_view bytes)
{
    if (m_inValue) {
        storeField();
    }
    if (m_fieldName.empty()) {
        m_headerMemory += fieldOverhead;
        if (++m_fields > m_limits.maxHeaders) {
            return refuse(431, "there are too many headers");
        }
    }
    if (!countHeaderBytes(bytes.size())) {
        return refuse(431, "the headers are too long");
    }
    m_fieldName += bytes;
    return 0;
}

int request_reader::addFieldValue(std::string_view bytes)
{
    if (!countHeaderBytes(bytes.size())) {
        return refuse(431, "the headers are too long");
    }
    m_inValue = true;
    m_fieldValue += bytes;
    return 0;
}

/** Trailers are counted and dropped: they come when the request has been judged by its headers. */
void request_reader::storeField()
{
    if (!m_hasHeaders) {
        const auto [known, isNew] = m_request.headers.emplace(m_fieldName, m_fieldValue);
        if (!isNew) {
            known->second += ", " + m_fieldValue;
        }
    }
    m_fieldName.clear();
    m_fieldValue.clear();
    m_inValue = false;
}

int request_reader::endHeaders()
{
    if (m_inValue) {
        storeField();
    }
    m_hasHeaders = true;
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (hasLength && m_parser.uses_transfer_encoding != 0) {
        return refuse(400, "a length and a transfer encoding are given");
    }
    if (hasLength && m_parser.content_length > m_limits.maxBodyBytes) {
        return refuse(413, "the announced body is too long");
    }
    return 0;
}

int request_reader::addBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > m_limits.maxBodyBytes) {
        return refuse(413, "the body is too long");
    }
    m_body.append(bytes);
    return 0;
}

} // namespace carawayloft
