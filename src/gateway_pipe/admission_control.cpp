#include <carawayloft/gateway/admission_control.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace carawayloft {

/** Age at which the last sums from control are scaled by this gateway's own traffic. */
static constexpr duration maxGrantAge{2'000};

/** Bounds of that scale, since the own traffic is a small sample. */
static constexpr double maxScale = 10.0;

/**
 * Change of the demand that one grant can bring about beyond a change of the own traffic. A wrong sum then has a bounded
 * effect, and threefold load is still known after two grants, half a second.
 */
static constexpr double maxGrantStep = 2.0;

/**
 * Requests per second at which a new sum counts as much as the one before. Sums cover half a second, so that of a few
 * requests a second chance alone makes them differ by half.
 */
static constexpr double steadyRequestsPerSecond = 80.0;

/** Time for which an assessed capacity is used. Adding it up over all groups takes longer than one decision may. */
static constexpr duration maxCapacityAge{100};

/** Time constant of the average of the capacity: longer than it stays reduced until a backlog of prompts is read. */
static constexpr std::chrono::duration<double> usualCapacityTime{10.0};

/** Time after which the state of a model that is no longer in demand is dropped. */
static constexpr duration idleTime{10'000};

/** Bound on the accounts with a credit. */
static constexpr std::size_t maxCredits = 4'096;

/** Least part of the free rate that a gateway hands out, over an equal part: its own traffic is a small sample. */
static constexpr double minOwnShareOfEqualPart = 0.5;

static double usableRate(double rate)
{
    return std::isfinite(rate) ? std::max(rate, 0.0) : 0.0;
}

admission_control::admission_control(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<admission_control::output> admission_control::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    std::visit([this](const auto &each) { handle(each); }, in);
    return std::move(m_out);
}

bool admission_control::knowsCapacity(const model_id &model, time_point now) const
{
    const auto found = m_models.find(model);
    return found != m_models.end() && found->second.isAssessed && now < found->second.assessedAt + maxCapacityAge;
}

admission_control::model_state &admission_control::stateOf(const model_id &model)
{
    const auto found = m_models.find(model);
    return found != m_models.end() ? found->second : m_models.emplace(model, model_state(m_random())).first->second;
}

void admission_control::handle(const demand_granted &in)
{
    std::set<model_id> granted;
    for (const model_traffic &each : in.traffic) {
        granted.insert(each.model);
        model_state &state = stateOf(each.model);
        state.gateways = std::max(in.gateways, 1U);
        std::vector<class_demand> classes;
        std::copy_if(in.classes.begin(), in.classes.end(), std::back_inserter(classes), [&](const class_demand &part) { return part.model == each.model; });
        applyDemand(state, each, std::move(classes));
    }
    for (auto &[model, state] : m_models) {
        if (!granted.contains(model)) {
            state.hasDemand = false;
            state.shares.reset();
        }
    }
    std::erase_if(m_models, [this](const auto &each) {
        const model_state &state = each.second;
        return !state.hasDemand && m_now >= std::max(state.grantedAt, state.assessedAt) + idleTime;
    });
}

/** Takes over the rates of a grant. */
void admission_control::applyDemand(model_state &state, const model_traffic &traffic, std::vector<class_demand> classes) const
{
    double total = usableRate(traffic.recentRequestsPerSecond);
    double returning = usableRate(traffic.returningPerSecond);
    if (state.hasDemand && m_now < state.grantedAt + maxGrantAge) {
        const double growth = state.ownAtGrant > 0.0 ? state.own / state.ownAtGrant : 1.0;
        const double highest = maxGrantStep * std::max(1.0, growth) * std::max(state.firstAttempts, state.capacity.value_or(0.0));
        const double lowest = state.firstAttempts * std::min(1.0, growth) / maxGrantStep;
        const double bounded = highest > 0.0 ? std::clamp(total, std::min(lowest, highest), highest) : total;
        returning *= total > 0.0 ? std::min(1.0, bounded / total) : 1.0;
        const double weight = bounded / (bounded + steadyRequestsPerSecond);
        total = state.firstAttempts + weight * (bounded - state.firstAttempts);
    }
    total = std::max(total, state.own);
    auto demand = std::make_shared<const admission_demand>(std::move(classes));
    if (demand->requestsPerSecond() <= 0.0 && total > 0.0) {
        // Reported by gateways that do not state ranks.
        demand = std::make_shared<const admission_demand>(std::vector{class_demand{traffic.model, {}, {}, total, 1}});
    }
    state.demand = std::move(demand);
    state.hasDemand = true;
    state.firstAttempts = total;
    state.returning = returning;
    state.grantedAt = m_now;
    state.ownAtGrant = state.own;
    state.shares.reset();
    state.isAssessed = false; // The capacity depends on the traffic, too.
}

void admission_control::handle(const own_demand_measured &in)
{
    for (auto &[model, state] : m_models) {
        const auto found = std::find_if(in.traffic.begin(), in.traffic.end(), [&, id = model](const model_traffic &each) { return each.model == id; });
        state.own = found == in.traffic.end() ? 0.0 : usableRate(found->recentRequestsPerSecond);
        if (m_now >= state.grantedAt + maxGrantAge) {
            state.shares.reset();
        }
    }
}

void admission_control::averageCapacity(model_state &state, double capacity) const
{
    const std::chrono::duration<double> elapsed = m_now - state.assessedAt;
    const double weight = state.usualCapacity > 0.0 ? 1.0 - std::exp(-std::max(0.0, elapsed / usualCapacityTime)) : 1.0;
    state.usualCapacity += weight * (usableRate(capacity) - state.usualCapacity);
}

void admission_control::handle(const capacity_assessed &in)
{
    model_state &state = stateOf(in.model);
    if (state.capacity != in.requestsPerSecond) {
        state.shares.reset();
    }
    averageCapacity(state, in.requestsPerSecond.value_or(0.0));
    state.capacity = in.requestsPerSecond;
    state.isAssessed = true;
    state.assessedAt = m_now;
}

const admission_shares &admission_control::sharesOf(model_state &state) const
{
    if (state.shares) {
        return *state.shares;
    }
    state.scale = 1.0;
    if (!state.hasDemand || !state.capacity) {
        state.shares.emplace();
        return *state.shares;
    }
    if (m_now >= state.grantedAt + maxGrantAge && state.ownAtGrant > 0.0) {
        state.scale = std::clamp(state.own / state.ownAtGrant, 1.0 / maxScale, maxScale);
    }
    const double firstAttempts = state.firstAttempts * state.scale;
    if (firstAttempts <= 0.0 || state.demand->requestsPerSecond() <= 0.0) {
        state.shares.emplace();
        return *state.shares;
    }
    // The mix is averaged over a longer time than the sum. Scaling the capacity to it gives the same shares as scaling the mix.
    const double mixScale = state.demand->requestsPerSecond() / firstAttempts;
    state.shares.emplace(*state.capacity * mixScale, state.demand, state.returning * state.scale * mixScale, state.usualCapacity * mixScale);
    return *state.shares;
}

/** The credit of the account. It starts at random, since a gateway may see single requests of an account and must not reject each of them. */
double &admission_control::creditOf(model_state &state, const admission_request &request)
{
    if (request.isReturning) {
        return state.returningCredit;
    }
    if (state.credits.size() >= maxCredits) {
        state.credits.clear();
    }
    const auto [found, isNew] = state.credits.try_emplace({request.rank, request.account}, 0.0);
    if (isNew) {
        found->second = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    }
    return found->second;
}

/** Whether to admit one more request. Admits the fraction evenly over time, since bursts make each other late. */
bool admission_control::consumeCredit(double &credit, double share)
{
    if (share >= 1.0) {
        return true;
    }
    credit += share;
    if (credit < 1.0) {
        return false;
    }
    credit -= 1.0;
    return true;
}

admission_decision admission_control::assess(model_state &state, const admission_request &request) const
{
    const admission_shares &shares = sharesOf(state);
    admission_decision decision;
    decision.share = request.isReturning ? shares.returning() : shares.of(request.rank, request.account);
    decision.capacity = state.capacity.value_or(0.0);
    decision.demand = state.hasDemand ? state.firstAttempts * state.scale : 0.0;
    return decision;
}

void admission_control::setRetryTime(admission_decision &decision, model_state &state, const admission_request &request) const
{
    std::optional<double> rate;
    if (state.capacity && state.hasDemand) {
        const double equalPart = 1.0 / state.gateways;
        const double ownPart = decision.demand > 0.0 ? state.own / decision.demand : equalPart;
        // A caller returns once, so one that is rejected again gets no slot.
        const double freeRate = std::max(0.0, *state.capacity - decision.demand);
        rate = request.isReturning ? 0.0 : freeRate * std::clamp(ownPart, minOwnShareOfEqualPart * equalPart, 1.0);
    }
    const retry_time named = state.schedule.next(rate, request.timeLeft, request.earliestReturn, m_now);
    decision.retryAfter = named.after;
    decision.hasSlot = named.hasSlot;
}

void admission_control::handle(const admission_request &in)
{
    model_state &state = stateOf(in.model);
    admission_decision decision = assess(state, in);
    decision.admitted = consumeCredit(creditOf(state, in), decision.share);
    if (!decision.admitted) {
        setRetryTime(decision, state, in);
    }
    m_out.emplace_back(decision);
}

void admission_control::handle(const unserved_request &in)
{
    model_state &state = stateOf(in.request.model);
    admission_decision decision = assess(state, in.request);
    decision.admitted = false;
    setRetryTime(decision, state, in.request);
    m_out.emplace_back(decision);
}

} // namespace carawayloft
