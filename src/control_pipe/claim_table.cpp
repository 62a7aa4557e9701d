#include <carawayloft/control/claim_table.h>

namespace carawayloft {

static bool isAbandoned(const claim_record &claim, wall_time now)
{
    return claim.state == claim_state::Running && now > claim.deadline + claim_table::ownerGracePeriod;
}

static claim_reply replyFor(const claim_record &claim, wall_time now)
{
    if (claim.state == claim_state::Answered) {
        return {claim_verdict::Answered, claim.status, claim.contentType, claim.body};
    }
    const bool unknown = claim.state == claim_state::Unknown || isAbandoned(claim, now);
    return {unknown ? claim_verdict::Unknown : claim_verdict::Running, 0, {}, {}};
}

claim_reply claim_table::apply(const open_claim &request)
{
    evictExpired(request.at);
    const claim_key key{request.account, request.key};
    const auto found = m_claims.find(key);
    if (found == m_claims.end()) {
        claim_record claim{request.account,
                           request.key,
                           request.requestDigest,
                           request.owner,
                           request.service,
                           request.at,
                           request.deadline,
                           claim_state::Running,
                           0,
                           {},
                           {},
                           {}};
        m_claims.emplace(key, std::move(claim));
        m_openingOrder.push_back(key);
        return {claim_verdict::Granted, 0, {}, {}};
    }
    claim_record &claim = found->second;
    if (claim.requestDigest != request.requestDigest) {
        return {claim_verdict::KeyReused, 0, {}, {}};
    }
    if (isAbandoned(claim, request.at)) {
        claim.state = claim_state::Unknown;
    }
    if (claim.owner == request.owner && claim.state == claim_state::Running) {
        return {claim_verdict::Granted, 0, {}, {}};
    }
    return replyFor(claim, request.at);
}

claim_reply claim_table::apply(const close_claim &request)
{
    const auto found = m_claims.find({request.account, request.key});
    if (found == m_claims.end()) {
        return {claim_verdict::NotOwner, 0, {}, {}};
    }
    claim_record &claim = found->second;
    const bool operatorSettles = !request.settledBy.empty() && (claim.state == claim_state::Unknown || isAbandoned(claim, request.at));
    const bool ownerCloses = request.settledBy.empty() && claim.owner == request.owner && claim.state != claim_state::Answered && claim.settledBy.empty();
    if (!operatorSettles && !ownerCloses) {
        return {claim_verdict::NotOwner, 0, {}, {}};
    }
    if (request.outcome == claim_outcome::DidNotRun) {
        m_claims.erase(found);
        return {claim_verdict::Closed, 0, {}, {}};
    }
    claim.state = request.outcome == claim_outcome::Answered ? claim_state::Answered : claim_state::Unknown;
    claim.status = request.status;
    claim.contentType = request.contentType;
    claim.body = request.body;
    claim.settledBy = request.settledBy;
    return {claim_verdict::Closed, 0, {}, {}};
}

void claim_table::evictExpired(wall_time now)
{
    while (!m_openingOrder.empty()) {
        const auto found = m_claims.find(m_openingOrder.front());
        if (found != m_claims.end()) {
            if (found->second.openedAt + retention > now) {
                return;
            }
            m_claims.erase(found);
        }
        m_openingOrder.pop_front();
    }
}

void claim_table::restore(const claim_snapshot &snapshot)
{
    m_claims.clear();
    m_openingOrder.clear();
    for (const claim_record &each : snapshot.claims) {
        m_claims.emplace(claim_key{each.account, each.key}, each);
        m_openingOrder.emplace_back(each.account, each.key);
    }
}

claim_snapshot claim_table::snapshot() const
{
    claim_snapshot snapshot;
    std::map<claim_key, bool> written;
    for (const claim_key &each : m_openingOrder) {
        const auto found = m_claims.find(each);
        if (found != m_claims.end() && written.emplace(each, true).second) {
            snapshot.claims.push_back(found->second);
        }
    }
    return snapshot;
}

const claim_record *claim_table::find(const client_account_id &account, const idempotency_key &key) const
{
    const auto found = m_claims.find({account, key});
    return found == m_claims.end() ? nullptr : &found->second;
}

std::vector<claim_record> claim_table::unknown(wall_time now) const
{
    std::vector<claim_record> claims;
    for (const auto &[key, claim] : m_claims) {
        if (claim.state == claim_state::Unknown || isAbandoned(claim, now)) {
            claims.push_back(claim);
        }
    }
    return claims;
}

} // namespace carawayloft
