#pragma once

#include <carawayloft/control/claim.h>

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

/** The replicated state machine of claims. It is deterministic: it takes the time from the commands, which the leader stamps. */
class claim_table
{
public:
    /** Time after which a closed or abandoned claim is evicted; a later retry counts as a new request. */
    static constexpr std::chrono::hours retention{7 * 24};

    /** Time after a claim's deadline after which an owner that has not closed it counts as lost. */
    static constexpr std::chrono::seconds ownerGracePeriod{2};

    claim_reply apply(const open_claim &request);
    claim_reply apply(const close_claim &request);

    void restore(const claim_snapshot &snapshot);
    claim_snapshot snapshot() const;

    /** The claim, or nullptr if there is none. */
    const claim_record *find(const client_account_id &account, const idempotency_key &key) const;

    /** Claims whose outcome is unknown at @p now and that an operator may settle. */
    std::vector<claim_record> unknown(wall_time now) const;

    std::size_t size() const
    {
        return m_claims.size();
    }

private:
    using claim_key = std::pair<client_account_id, idempotency_key>;

    void evictExpired(wall_time now);

    std::map<claim_key, claim_record> m_claims;
    std::deque<claim_key> m_openingOrder;
};

} // namespace carawayloft
