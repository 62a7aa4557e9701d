#include <carawayloft/core/byte_budget.h>

#include <bit>

namespace carawayloft {

bool byte_budget::rank::operator<(const rank &other) const
{
    return sizeClass != other.sizeClass ? sizeClass > other.sizeClass : holder < other.holder;
}

byte_budget::byte_budget(std::size_t limit)
    : m_limit(limit)
{
}

std::vector<byte_budget_output> byte_budget::update(byte_holder_id holder, const held_bytes &now)
{
    replace(holder, now);
    std::vector<byte_budget_output> out;
    while (m_used > m_limit && !m_bodies.empty()) {
        const byte_holder_id rejected = m_bodies.begin()->holder;
        held_bytes left = m_holders.at(rejected);
        left.unfinishedBody = 0;
        replace(rejected, left);
        out.emplace_back(reject_unfinished_body{rejected});
    }
    while (m_used > m_limit && !m_answers.empty()) {
        const byte_holder_id cut = m_answers.begin()->holder;
        held_bytes left = m_holders.at(cut);
        left.untakenAnswer = 0;
        replace(cut, left);
        out.emplace_back(cut_untaken_answer{cut});
    }
    return out;
}

void byte_budget::move(ranking &in, byte_holder_id holder, std::size_t before, std::size_t after)
{
    const int from = std::bit_width(before);
    const int to = std::bit_width(after);
    if (from == to) {
        return;
    }
    if (from > 0) {
        in.erase({from, holder});
    }
    if (to > 0) {
        in.insert({to, holder});
    }
}

void byte_budget::replace(byte_holder_id holder, const held_bytes &now)
{
    held_bytes &known = m_holders[holder];
    move(m_bodies, holder, known.unfinishedBody, now.unfinishedBody);
    move(m_answers, holder, known.untakenAnswer, now.untakenAnswer);
    m_used -= known.unfinishedBody + known.untakenAnswer + known.other;
    m_used += now.unfinishedBody + now.untakenAnswer + now.other;
    known = now;
    if (now == held_bytes{}) {
        m_holders.erase(holder);
    }
}

} // namespace carawayloft
