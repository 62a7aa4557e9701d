#pragma once

#include "ends/http_rejection.h"
#include "ends/http_types.h"
#include "ends/request_reader.h"

#include <carawayloft/core/byte_budget.h>

#include <asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace carawayloft {

class http_port;

/** Number of a request on its connection. */
using request_number = strong_type<struct request_number_tag, std::uint64_t>;

/**
 * One connection of a caller. Serves one request at a time; a limited number of bytes behind it are kept meanwhile and
 * the rest stay in the socket. What it holds is reported to its port at each change. The end of what the caller sends is
 * a hang-up, except behind pipelined requests, all of which are answered.
 */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(std::shared_ptr<http_port> port, byte_holder_id id, asio::ip::tcp::socket socket);

    void start();

    // The answer to a request; without effect once the connection has ended or serves another request.
    void respond(request_number request, const http_response &response, bool closing);
    void startStream(request_number request, const http_response &head, bool closing);
    void write(request_number request, const std::string &bytes, std::function<void()> sent);
    void finish(request_number request);
    void abort(request_number request);
    /** Ends the answer of a request whose handler has failed: with 500, or cut off if its head is on its way. */
    void endFailed(request_number request);
    void onHangUp(request_number request, std::function<void()> handle);

    /** Rejects or closes what has taken too long. */
    void checkTime(time_point now);

    /** Rejects a request that is not whole, since it does not fit into the budget. */
    void rejectUnfinishedBody();

    /** Closes a connection whose answer is not taken. */
    void cutUntakenAnswer();

    /** Closes without telling the one who answers. */
    void close();

    const asio::ip::tcp::endpoint &peer() const
    {
        return m_peer;
    }

    /** Whether nothing is lost to the caller if the connection is closed. */
    bool isIdle() const
    {
        return m_phase == phase::Receiving && !m_reader.hasBegun();
    }

private:
    enum class phase : std::uint8_t {
        Receiving, /**< Waits for a request or reads one. */
        Serving, /**< A request was handed over and its answer is not sent in full. */
        Lingering, /**< The last answer is on its way; what still comes is dropped, so that the caller reads it before a reset. */
        Closed,
    };

    /** Bytes to send, and whom to tell. */
    struct outgoing {
        std::string bytes;
        std::function<void()> sent;
    };

    void awaitBytes();
    void awaitReset();
    void receive();
    void consume(std::string_view bytes);
    void keepPipelined(std::string_view bytes);
    void deliver(http_request request);
    void handleEnd(bool closedInOrder);
    void hangUp();
    void send(std::string bytes, std::function<void()> sent = {});
    void sendNext();
    void endAnswer();
    void linger();
    void rejectAnswer(const error &why);
    void reject(http_rejection why, std::uint32_t status, const std::string &reason);
    void reportHeld();
    bool isCurrent(request_number request) const;

    std::shared_ptr<http_port> m_port;
    byte_holder_id m_id;
    asio::ip::tcp::socket m_socket;
    asio::ip::tcp::endpoint m_peer;
    request_reader m_reader;
    phase m_phase = phase::Receiving;
    request_number m_request; /**< Of the latest request that was handed over. */
    std::string m_pipelined; /**< What came behind the request that is being served. */
    std::deque<outgoing> m_outgoing;
    std::deque<outgoing> m_sending; /**< Given to the system, in one piece. */
    std::function<void()> m_hangUp;
    std::size_t m_unsentBytes = 0; /**< Bytes of m_outgoing and m_sending. */
    std::size_t m_requestHeld = 0; /**< Of the request that is being served. */
    bool m_delivering = false; /**< The request in m_requestHeld is whole and has not been handed over yet. */
    bool m_awaiting = false;
    bool m_hasPipelined = false; /**< Bytes of a request came before the answer to the one ahead of it was sent. */
    bool m_inputEnded = false; /**< The caller has closed its sending side behind pipelined requests. */
    bool m_keepAlive = true;
    bool m_isHead = false;
    bool m_streaming = false;
    bool m_cut = false; /**< To be closed, since its answer is not taken. */
    bool m_answerComplete = false; /**< All of the answer is in the queue. */
    time_point m_since; /**< Start of the request, of the idle time or of lingering. */
    time_point m_lastBodyByte;
    time_point m_sendingSince;
};

} // namespace carawayloft
