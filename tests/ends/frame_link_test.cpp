#include "ends/frame_link.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <vector>

using namespace carawayloft;

/** Time after which the system repeats the first segment of a connection. */
static constexpr std::chrono::milliseconds segmentRepeatTime{1'000};

/** A port whose queue of connections is full, so that the system drops the segments that open more, as for a host that is down. */
class SilentPort : public ::testing::Test
{
protected:
    SilentPort()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}, false)
    {
        m_acceptor.listen(0);
        for (int i = 0; i < 8; ++i) {
            m_waiting.emplace_back(m_context);
            m_waiting.back().async_connect(m_acceptor.local_endpoint(), [](const std::error_code &) {});
        }
        m_context.run_for(std::chrono::milliseconds(20));
    }

    endpoint address() const
    {
        return endpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_waiting;
};

// A connection to a host that was still down kept a control replica from the next attempt until long after that host was back.
TEST_F(SilentPort, GivesUpAnAttemptBeforeTheSystemRepeatsIt)
{
    bool isRepeated = false;
    bool isClosed = false;
    bool isClosedFirst = false;
    asio::steady_timer repeat(m_context, segmentRepeatTime);
    repeat.async_wait([&](const std::error_code &) { isRepeated = true; });
    const auto link = frame_link::connect(m_context.get_executor(), address(), {}, [&](const std::shared_ptr<frame_link> &, const link_event &event) {
        isClosed = isClosed || std::holds_alternative<link_closed>(event);
        isClosedFirst = isClosedFirst || (isClosed && !isRepeated);
    });
    while (!isClosed || !isRepeated) {
        m_context.run_one();
    }
    EXPECT_TRUE(isClosedFirst);
}
