#pragma once

#include <carawayloft/order/claim.h>

#include <deque>
#include <map>
#include <utility>

namespace carawayloft {

struct claim_snapshot {
    std::vector<claim_record> claims;

    static constexpr auto fields()
    {
        return std::tuple(field{"claims", &claim_snapshot::claims});
    }
};

/** The deterministic state machine of claims; time comes with the commands, from the leader that ordered them. */
class claim_table
{
public:
    /** Time after which a closed or abandoned claim is forgotten; a resend later than this counts as new. */
    static constexpr std::chrono::hours retention{7 * 24};

    /** Time past a claim's deadline after which a silent owner counts as lost. */
    static constexpr std::chrono::seconds ownerGracePeriod{2};

    claim_reply apply(const open_claim &request);
    claim_reply apply(const close_claim &request);

    void restore(const claim_snapshot &snapshot);
    claim_snapshot snapshot() const;

    /** The claim as it stands, or nullptr. */
    const claim_record *find(const client_account_id &account, const idempotency_key &key) const;

    /** Claims whose outcome is unknown at @p now, for operators. */
    std::vector<claim_record> unknown(wall_time now) const;

    std::size_t size() const
    {
        return m_claims.size();
    }

private:
    using claim_key = std::pair<client_account_id, idempotency_key>;

    void forgetExpired(wall_time now);

    std::map<claim_key, claim_record> m_claims;
    std::deque<claim_key> m_order;
};

} // namespace carawayloft
