#include <carawayloft/gateway/class_meter.h>

#include <carawayloft/fleet/class_demand_sum.h>

namespace carawayloft {

/** Long enough that single requests of an account do not change its share of the demand much. */
static constexpr duration classWindow{2'000};

void class_meter::count(const model_id &model, request_rank rank, const client_account_id &account, time_point now)
{
    m_requests.try_emplace({model, rank, account}, sliding_window_counter(classWindow)).first->second.add(now);
}

std::vector<class_demand> class_meter::averages(time_point now)
{
    const double seconds = std::chrono::duration<double>(classWindow).count();
    class_demand_sum sum;
    for (auto each = m_requests.begin(); each != m_requests.end();) {
        const std::size_t count = each->second.count(now);
        sum.add({each->first.model, each->first.rank, each->first.account, static_cast<double>(count) / seconds, 0});
        each = count == 0 ? m_requests.erase(each) : std::next(each);
    }
    return sum.entries();
}

} // namespace carawayloft
