#include <carawayloft/gateway/class_meter.h>

#include <carawayloft/fleet/class_demand_sum.h>

namespace carawayloft {

void class_meter::count(const model_id &model, request_rank rank, const client_account_id &account, time_point now)
{
    m_requests.try_emplace({model, rank, account}, sliding_window_counter(window)).first->second.add(now);
}

std::vector<class_demand> class_meter::averages(time_point now)
{
    const double seconds = std::chrono::duration<double>(window).count();
    class_demand_sum sum;
    for (auto each = m_requests.begin(); each != m_requests.end();) {
        const std::size_t count = each->second.count(now);
        sum.add({each->first.model, each->first.rank, each->first.account, static_cast<double>(count) / seconds, 0});
        each = count == 0 ? m_requests.erase(each) : std::next(each);
    }
    return sum.entries();
}

} // namespace carawayloft
