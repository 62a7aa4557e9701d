#include <carawayloft/request/stream_assembler.h>

namespace carawayloft {

std::vector<stream_assembler::output> stream_assembler::step(const input &in, time_point)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { handle(each, out); }, in);
    return out;
}

void stream_assembler::handle(const attempt_started &in, std::vector<output> &)
{
    m_attempt = in.attempt;
    m_frameReceived = false;
    m_headReceived = false;
    m_heldChunks.clear();
    m_length.reset();
}

void stream_assembler::handle(const answer_head &in, std::vector<output> &out)
{
    if (in.attempt != m_attempt || m_complete) {
        return;
    }
    m_frameReceived = true;
    // An answer that the caller has part of is not continued with another kind of answer, such as an error.
    if (m_sentHead && (m_sentHead->status != in.status || m_sentHead->contentType != in.contentType)) {
        out.emplace_back(attempt_broken{m_position, false});
        return;
    }
    m_headReceived = true;
    if (!m_sentHead) {
        m_sentHead = head_ready{in.status, in.contentType};
        out.emplace_back(*m_sentHead);
    }
    releaseInOrder(out);
    finishIfComplete(out);
}

void stream_assembler::handle(const answer_chunk &in, std::vector<output> &out)
{
    if (in.attempt != m_attempt || m_complete) {
        return;
    }
    m_frameReceived = true;
    if (in.offset < m_position || m_heldChunks.contains(in.offset)) {
        return;
    }
    if (m_heldChunks.size() >= maxHeldChunks) {
        out.emplace_back(attempt_broken{m_position, false});
        return;
    }
    m_heldChunks.emplace(in.offset, in.bytes);
    releaseInOrder(out);
    finishIfComplete(out);
}

void stream_assembler::handle(const answer_end &in, std::vector<output> &out)
{
    if (in.attempt != m_attempt || m_complete) {
        return;
    }
    if (in.ending == answer_ending::Broken) {
        out.emplace_back(attempt_broken{m_position, !m_frameReceived});
        return;
    }
    m_length = in.length;
    finishIfComplete(out);
}

void stream_assembler::releaseInOrder(std::vector<output> &out)
{
    if (!m_headReceived) {
        return;
    }
    while (!m_heldChunks.empty() && m_heldChunks.begin()->first == m_position) {
        out.emplace_back(bytes_ready{std::move(m_heldChunks.begin()->second)});
        m_heldChunks.erase(m_heldChunks.begin());
        m_position = next(m_position);
    }
}

void stream_assembler::finishIfComplete(std::vector<output> &out)
{
    if (!m_complete && m_headReceived && m_length && *m_length == m_position) {
        m_complete = true;
        out.emplace_back(answer_complete{});
    }
}

} // namespace carawayloft
