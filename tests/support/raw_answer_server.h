#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <memory>
#include <string>
#include <utility>

namespace carawayloft::test_support {

/** A server on the loopback interface that answers every request with the same bytes, then repeats others until the caller closes. */
class raw_answer_server
{
public:
    raw_answer_server(asio::io_context &context, std::string answer, std::string repeated)
        : m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_answer(std::move(answer))
        , m_repeated(std::move(repeated))
    {
        accept();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/";
    }

    bool isClosed() const
    {
        return m_isClosed;
    }

    /** Requests that came, whether they were answered or not. */
    std::size_t requests() const
    {
        return m_requests;
    }

    /** Connections that were accepted. */
    std::size_t connections() const
    {
        return m_connections;
    }

    /** The head of the last request. */
    const std::string &lastHead() const
    {
        return m_lastHead;
    }

    /** Closes the connection of the next request instead of an answer. */
    void closeAtNextRequest()
    {
        m_closesNext = true;
    }

    /** Answers requests whose head begins with @p beginning with @p answer. */
    void answerOthers(std::string beginning, std::string answer)
    {
        m_otherBeginning = std::move(beginning);
        m_otherAnswer = std::move(answer);
    }

    /** Closes each connection behind the answer. */
    void closeAfterAnswers()
    {
        m_closesAfterAnswers = true;
    }

private:
    struct connection {
        explicit connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        asio::ip::tcp::socket socket;
        asio::streambuf request;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const std::error_code &failure, asio::ip::tcp::socket socket) {
            if (!failure) {
                ++m_connections;
                serve(std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<connection> &one)
    {
        asio::async_read_until(one->socket, one->request, "\r\n\r\n", [this, one](const std::error_code &failure, std::size_t size) {
            if (!failure) {
                const auto *bytes = static_cast<const char *>(one->request.data().data());
                m_lastHead.assign(bytes, size);
                one->request.consume(one->request.size());
                ++m_requests;
                answer(one);
            }
        });
    }

    void answer(const std::shared_ptr<connection> &one)
    {
        if (std::exchange(m_closesNext, false)) {
            return;
        }
        std::error_code failure;
        const bool isOther = !m_otherBeginning.empty() && m_lastHead.starts_with(m_otherBeginning);
        asio::write(one->socket, asio::buffer(isOther ? m_otherAnswer : m_answer), failure);
        if (m_closesAfterAnswers) {
            return;
        }
        if (m_repeated.empty()) {
            serve(one);
        } else {
            repeat(one);
        }
    }

    void repeat(const std::shared_ptr<connection> &one)
    {
        asio::async_write(one->socket, asio::buffer(m_repeated), [this, one](const std::error_code &failure, std::size_t) {
            if (failure) {
                m_isClosed = true;
            } else {
                repeat(one);
            }
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_answer;
    std::string m_repeated;
    std::string m_otherBeginning;
    std::string m_otherAnswer;
    std::size_t m_connections = 0;
    std::size_t m_requests = 0;
    std::string m_lastHead;
    bool m_closesNext = false;
    bool m_closesAfterAnswers = false;
    bool m_isClosed = false;
};

} // namespace carawayloft::test_support
