#include <carawayloft/request/stream_assembler.h>

namespace carawayloft {

std::vector<stream_assembler::output> stream_assembler::step(const input &in, time_point)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { take(each, out); }, in);
    return out;
}

void stream_assembler::take(const attempt_started &in, std::vector<output> &)
{
    m_attempt = in.attempt;
    m_attemptSeen = false;
    m_heldChunks.clear();
    m_length.reset();
}

void stream_assembler::take(const answer_head &in, std::vector<output> &out)
{
    if (in.attempt != m_attempt || m_complete) {
        return;
    }
    m_attemptSeen = true;
    if (!m_headSent) {
        m_headSent = true;
        out.emplace_back(head_ready{in.status, in.contentType});
    }
    release(out);
    finishIfWhole(out);
}

void stream_assembler::take(const answer_chunk &in, std::vector<output> &out)
{
    if (in.attempt != m_attempt || m_complete) {
        return;
    }
    m_attemptSeen = true;
    if (in.offset < m_position || m_heldChunks.contains(in.offset)) {
        return;
    }
    if (m_heldChunks.size() >= maxHeldChunks) {
        out.emplace_back(attempt_broken{m_position, false});
        return;
    }
    m_heldChunks.emplace(in.offset, in.bytes);
    release(out);
    finishIfWhole(out);
}

void stream_assembler::take(const answer_end &in, std::vector<output> &out)
{
    if (in.attempt != m_attempt || m_complete) {
        return;
    }
    if (in.ending == answer_ending::Broken) {
        out.emplace_back(attempt_broken{m_position, !m_attemptSeen});
        return;
    }
    m_length = in.length;
    finishIfWhole(out);
}

void stream_assembler::release(std::vector<output> &out)
{
    if (!m_headSent) {
        return;
    }
    while (!m_heldChunks.empty() && m_heldChunks.begin()->first == m_position) {
        out.emplace_back(bytes_ready{std::move(m_heldChunks.begin()->second)});
        m_heldChunks.erase(m_heldChunks.begin());
        m_position = next(m_position);
    }
}

void stream_assembler::finishIfWhole(std::vector<output> &out)
{
    if (!m_complete && m_headSent && m_length && *m_length == m_position) {
        m_complete = true;
        out.emplace_back(answer_complete{});
    }
}

} // namespace carawayloft
