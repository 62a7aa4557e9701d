#include <carawayloft/fleet/order_fences.h>

#include <algorithm>

namespace carawayloft {

void order_fences::begin(log_term preceding, log_term term)
{
    m_term = term;
    m_floor = fencing_token(preceding.value());
    m_latest.clear();
}

fencing_token order_fences::next(const backend_id &backend)
{
    const fencing_token number(std::min(latest(backend).value() + 1, m_term.value()));
    m_latest[backend] = number;
    return number;
}

fencing_token order_fences::current(const backend_id &backend)
{
    return m_latest.contains(backend) ? latest(backend) : next(backend);
}

bool order_fences::isOvertaken(const backend_id &backend, fencing_token number) const
{
    return number < latest(backend);
}

fencing_token order_fences::latest(const backend_id &backend) const
{
    const auto found = m_latest.find(backend);
    return found == m_latest.end() ? m_floor : found->second;
}

void order_fences::forgetUnless(const std::function<bool(const backend_id &)> &known)
{
    for (auto each = m_latest.begin(); each != m_latest.end();) {
        if (known(each->first)) {
            ++each;
            continue;
        }
        m_floor = std::max(m_floor, each->second);
        each = m_latest.erase(each);
    }
}

std::size_t order_fences::size() const
{
    return m_latest.size();
}

} // namespace carawayloft
