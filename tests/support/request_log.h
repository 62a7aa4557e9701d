#pragma once

#include <carawayloft/core/units.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace carawayloft::test_support {

enum class request_outcome : std::uint8_t {
    Open,
    OnTime, /**< Complete, with the first event and every pause within what the route allows. */
    Late, /**< Complete, but not on time. */
    Rejected, /**< Did not run. */
    Failed, /**< Incomplete, or not known to have run. */
};

/** One request of a caller with all its attempts. */
struct request_record {
    duration askedAt{0}; /**< First attempt, counted from the first request of all. */
    std::size_t route = 0;
    std::size_t account = 0;
    std::size_t gateway = 0; /**< Of the first attempt. */
    request_outcome outcome = request_outcome::Open;
    double promptTokens = 0.0;
    bool rejectedFirst = false; /**< The first attempt was rejected. */
    bool returned = false;
    bool returnedAsNamed = false; /**< It returned after the whole of the named Retry-After. */
    bool returnAdmitted = false; /**< The second attempt was sent to a group. */
    bool late = false; /**< First event after the objective, or a pause that was too long. */
};

/** How callers of a simulated fleet were served. */
struct caller_outcomes {
    std::size_t asked = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t rejected = 0;
    std::size_t failed = 0;
    std::size_t rejectedFirst = 0;
    std::size_t servedAtOnce = 0; /**< Answered completely without a rejection. */
    std::size_t returned = 0;
    std::size_t returnedAsNamed = 0;
    std::size_t admittedAsNamed = 0; /**< Of those that returned as named. */

    double onTimeShare() const
    {
        return shareOf(onTime);
    }
    double servedAtOnceShare() const
    {
        return shareOf(servedAtOnce);
    }
    double answeredShare() const
    {
        return shareOf(onTime + late);
    }

private:
    double shareOf(std::size_t count) const
    {
        return asked == 0 ? 1.0 : static_cast<double>(count) / static_cast<double>(asked);
    }
};

/** The requests whose first attempt was made within a time, from a beginning to before an end. */
struct request_span {
    duration from{0};
    duration until = duration::max();
};

class request_log
{
public:
    std::size_t add(const request_record &request)
    {
        m_requests.push_back(request);
        return m_requests.size() - 1;
    }

    request_record &at(std::size_t number)
    {
        return m_requests.at(number);
    }

    template<class Predicate>
    caller_outcomes outcomes(const request_span &span, const Predicate &counts) const
    {
        caller_outcomes sums;
        for (const request_record &each : m_requests) {
            if (each.askedAt >= span.from && each.askedAt < span.until && counts(each)) {
                count(each, sums);
            }
        }
        return sums;
    }

    caller_outcomes outcomes(const request_span &span = {}) const
    {
        return outcomes(span, [](const request_record &) { return true; });
    }

    /** Requests per second that were answered on time. */
    double onTimeRate(const request_span &span) const
    {
        return static_cast<double>(outcomes(span).onTime) / std::chrono::duration<double>(span.until - span.from).count();
    }

private:
    static void count(const request_record &each, caller_outcomes &sums)
    {
        ++sums.asked;
        sums.onTime += each.outcome == request_outcome::OnTime ? 1 : 0;
        sums.late += each.outcome == request_outcome::Late ? 1 : 0;
        sums.rejected += each.outcome == request_outcome::Rejected ? 1 : 0;
        sums.failed += each.outcome == request_outcome::Failed ? 1 : 0;
        sums.rejectedFirst += each.rejectedFirst ? 1 : 0;
        const bool answered = each.outcome == request_outcome::OnTime || each.outcome == request_outcome::Late;
        sums.servedAtOnce += answered && !each.rejectedFirst ? 1 : 0;
        sums.returned += each.returned ? 1 : 0;
        sums.returnedAsNamed += each.returnedAsNamed ? 1 : 0;
        sums.admittedAsNamed += each.returnedAsNamed && each.returnAdmitted ? 1 : 0;
    }

    std::vector<request_record> m_requests;
};

} // namespace carawayloft::test_support
