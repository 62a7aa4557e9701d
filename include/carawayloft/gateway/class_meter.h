#pragma once

#include <carawayloft/fleet/fleet_messages.h>
#include <carawayloft/gateway/sliding_window_counter.h>

#include <map>

namespace carawayloft {

/** Measures the first attempts at this gateway by model, rank and client account. */
class class_meter
{
public:
    /** Long enough that single requests of an account do not change its share of the demand much. */
    static constexpr duration window{2'000};

    void count(const model_id &model, request_rank rank, const client_account_id &account, time_point now);

    /** Averages over the last seconds, bounded in size; accounts without recent requests are left out and forgotten. */
    std::vector<class_demand> averages(time_point now);

private:
    struct request_class {
        model_id model;
        request_rank rank;
        client_account_id account;

        friend auto operator<=>(const request_class &, const request_class &) = default;
    };

    std::map<request_class, sliding_window_counter> m_requests;
};

} // namespace carawayloft
