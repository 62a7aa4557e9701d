#include <carawayloft/backend/answer_relay.h>

namespace carawayloft {

static constexpr const char *eventEnd = "\n\n";
static constexpr std::size_t eventEndBytes = 2;
static constexpr const char *lastEvent = "data: [DONE]";

/** Chunks that may wait for credit before the backend server is paused, and before it may go on. */
static constexpr std::size_t pauseAbove = 64;
static constexpr std::size_t resumeBelow = 16;

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
    m_stream = m_stream && in.status == 200;
    out.emplace_back(relay_frame{answer_head{m_request, m_attempt, in.status, in.contentType, m_waited}});
}

void answer_relay::handle(const answer_bytes_received &in, std::vector<output> &out)
{
    if (m_stream) {
        m_partial += in.bytes;
        splitEvents();
    } else {
        m_waiting.push_back(in.bytes);
    }
    pump(out);
}

void answer_relay::splitEvents()
{
    std::size_t begin = 0;
    for (std::size_t end = m_partial.find(eventEnd); end != std::string::npos; end = m_partial.find(eventEnd, begin)) {
        std::string event = m_partial.substr(begin, end + eventEndBytes - begin);
        m_sawEnd = m_sawEnd || event.starts_with(lastEvent);
        m_waiting.push_back(std::move(event));
        begin = end + eventEndBytes;
    }
    m_partial.erase(0, begin);
}

void answer_relay::handle(const answer_finished &, std::vector<output> &out)
{
    if (m_stream && !m_sawEnd) {
        handle(answer_failed{}, out);
        return;
    }
    m_finished = true;
    pump(out);
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
    pump(out);
}

void answer_relay::pump(std::vector<output> &out)
{
    while (!m_waiting.empty() && m_credit > 0) {
        out.emplace_back(relay_frame{answer_chunk{m_request, m_attempt, m_offset, std::move(m_waiting.front())}});
        m_waiting.pop_front();
        m_offset = next(m_offset);
        --m_credit;
    }
    const bool pause = m_paused ? m_waiting.size() >= resumeBelow : m_waiting.size() > pauseAbove;
    if (pause != m_paused) {
        m_paused = pause;
        out.emplace_back(pause_backend{pause});
    }
    if (m_finished && m_waiting.empty()) {
        m_done = true;
        out.emplace_back(relay_frame{answer_end{m_request, m_attempt, m_offset, answer_ending::Complete}});
        out.emplace_back(relay_done{true, false});
    }
}

} // namespace carawayloft
