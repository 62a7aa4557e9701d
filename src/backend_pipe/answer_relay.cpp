#include <carawayloft/backend/answer_relay.h>

#include <carawayloft/core/answer_limits.h>

namespace carawayloft {

static constexpr const char *eventSeparator = "\n\n";
static constexpr std::size_t eventSeparatorBytes = 2;
static constexpr const char *lastEvent = "data: [DONE]";

/** Unsent chunks above which reading from the backend server is paused, and below which it resumes. */
static constexpr std::size_t highWatermarkChunks = 64;
static constexpr std::size_t lowWatermarkChunks = 16;

answer_relay::answer_relay(const dispatch_request &request, duration waited)
    : m_request(request.request)
    , m_attempt(request.attempt)
    , m_waited(waited)
    , m_stream(request.stream)
    , m_offset(request.resumeAt)
    , m_credit(request.credit)
{
}

std::vector<answer_relay::output> answer_relay::step(const input &in, time_point)
{
    std::vector<output> out;
    if (!m_done) {
        std::visit([&](const auto &each) { handle(each, out); }, in);
    }
    return out;
}

void answer_relay::handle(const answer_started &in, std::vector<output> &out)
{
    m_started = true;
    // An error answer is not split into events.
    m_stream = m_stream && in.status == 200;
    out.emplace_back(relay_frame{answer_head{m_request, m_attempt, in.status, in.contentType, m_waited}});
}

void answer_relay::handle(const answer_bytes_received &in, std::vector<output> &out)
{
    if (m_stream) {
        m_partialEvent += in.bytes;
        splitEvents();
        if (m_partialEvent.size() > maxEventBytes) {
            out.emplace_back(abandon_backend{});
            handle(answer_failed{}, out);
            return;
        }
    } else {
        m_unsentChunks.push_back(in.bytes);
    }
    sendChunks(out);
}

void answer_relay::splitEvents()
{
    std::size_t begin = 0;
    for (std::size_t end = m_partialEvent.find(eventSeparator); end != std::string::npos; end = m_partialEvent.find(eventSeparator, begin)) {
        std::string event = m_partialEvent.substr(begin, end + eventSeparatorBytes - begin);
        m_sawLastEvent = m_sawLastEvent || event.starts_with(lastEvent);
        m_unsentChunks.push_back(std::move(event));
        begin = end + eventSeparatorBytes;
    }
    m_partialEvent.erase(0, begin);
}

void answer_relay::handle(const answer_finished &, std::vector<output> &out)
{
    // A stream without its last event was cut off, even if the connection was closed in order.
    if (m_stream && !m_sawLastEvent) {
        handle(answer_failed{}, out);
        return;
    }
    m_finished = true;
    sendChunks(out);
}

void answer_relay::handle(const answer_failed &in, std::vector<output> &out)
{
    m_done = true;
    const bool neverStarted = in.neverStarted && !m_started;
    if (!neverStarted) {
        out.emplace_back(relay_frame{answer_end{m_request, m_attempt, m_offset, answer_ending::Broken}});
    }
    out.emplace_back(relay_done{false, neverStarted});
}

void answer_relay::handle(const credit_granted &in, std::vector<output> &out)
{
    m_credit += in.chunks;
    sendChunks(out);
}

void answer_relay::sendChunks(std::vector<output> &out)
{
    while (!m_unsentChunks.empty() && m_credit > 0) {
        out.emplace_back(relay_frame{answer_chunk{m_request, m_attempt, m_offset, std::move(m_unsentChunks.front())}});
        m_unsentChunks.pop_front();
        m_offset = next(m_offset);
        --m_credit;
    }
    const bool pause = m_paused ? m_unsentChunks.size() >= lowWatermarkChunks : m_unsentChunks.size() > highWatermarkChunks;
    if (pause != m_paused) {
        m_paused = pause;
        out.emplace_back(pause_backend{pause});
    }
    if (m_finished && m_unsentChunks.empty()) {
        m_done = true;
        out.emplace_back(relay_frame{answer_end{m_request, m_attempt, m_offset, answer_ending::Complete}});
        out.emplace_back(relay_done{true, false});
    }
}

} // namespace carawayloft
