#pragma once

#include "ends/http_types.h"

#include <functional>
#include <memory>

namespace carawayloft {

/** The answering side of one HTTP request. Exactly one of respond() and startStream() is called. */
class http_exchange
{
public:
    class impl;

    explicit http_exchange(std::unique_ptr<impl> implementation);
    ~http_exchange();

    void respond(const http_response &response);
    void startStream(const http_response &head);

    /** Whether the connection closes behind the answer; to be set before it begins. */
    void setClosing(bool closing);

    /** Sends @p bytes now; @p sent is called when the caller's side has taken them. */
    void write(const std::string &bytes, std::function<void()> sent);

    /** Ends a stream. */
    void finish();

    /** Cuts the connection, so that the caller sees the answer is not whole. */
    void abort();

    /** @p handle is called once if the caller goes away before the answer is whole. */
    void onHangUp(std::function<void()> handle);

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace carawayloft
