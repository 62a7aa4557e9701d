#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/** Claims on non-idempotent requests: at most one attempt runs for each (client account, idempotency key). */
namespace carawayloft {

enum class claim_state : std::uint8_t {
    Running,
    Answered,
    Unknown, /**< The request may have run and is not run again. */
};

struct claim_record {
    client_account_id account;
    idempotency_key key;
    std::uint64_t requestDigest = 0; /**< Hash of method, path and body. */
    request_id owner; /**< The only request that may run. */
    service_id service;
    wall_time openedAt;
    wall_time deadline; /**< The owner does not dispatch the request after this time. */
    claim_state state = claim_state::Running;
    std::uint32_t status = 0; /**< HTTP status of the recorded answer. */
    std::string contentType;
    std::string body;
    std::string settledBy; /**< The operator who settled the claim after its outcome was unknown. */

    static constexpr auto fields()
    {
        return std::tuple(field{"account", &claim_record::account},
                          field{"key", &claim_record::key},
                          field{"request_digest", &claim_record::requestDigest},
                          field{"owner", &claim_record::owner},
                          field{"service", &claim_record::service},
                          field{"opened_at_ms", &claim_record::openedAt},
                          field{"deadline_ms", &claim_record::deadline},
                          field{"state", &claim_record::state},
                          field{"status", &claim_record::status},
                          field{"content_type", &claim_record::contentType},
                          field{"body", &claim_record::body},
                          field{"settled_by", &claim_record::settledBy});
    }
};

/** Asks for the right to run a request; a retry by the same owner is granted again. */
struct open_claim {
    client_account_id account;
    idempotency_key key;
    std::uint64_t requestDigest = 0;
    request_id owner;
    service_id service;
    wall_time deadline;
    wall_time at; /**< Stamped by the leader. */

    static constexpr auto fields()
    {
        return std::tuple(field{"account", &open_claim::account},
                          field{"key", &open_claim::key},
                          field{"request_digest", &open_claim::requestDigest},
                          field{"owner", &open_claim::owner},
                          field{"service", &open_claim::service},
                          field{"deadline_ms", &open_claim::deadline},
                          field{"at_ms", &open_claim::at});
    }
};

enum class claim_outcome : std::uint8_t {
    DidNotRun,
    Answered,
    Unknown,
};

/** Records the outcome of a claim. Only the owner can close it, or an operator once its outcome is unknown. */
struct close_claim {
    client_account_id account;
    idempotency_key key;
    request_id owner;
    claim_outcome outcome = claim_outcome::Unknown;
    std::uint32_t status = 0; /**< HTTP status of the answer. */
    std::string contentType;
    std::string body;
    std::string settledBy; /**< Set only when an operator settles the claim. */
    wall_time at;

    static constexpr auto fields()
    {
        return std::tuple(field{"account", &close_claim::account},
                          field{"key", &close_claim::key},
                          field{"owner", &close_claim::owner},
                          field{"outcome", &close_claim::outcome},
                          field{"status", &close_claim::status},
                          field{"content_type", &close_claim::contentType},
                          field{"body", &close_claim::body},
                          field{"settled_by", &close_claim::settledBy},
                          field{"at_ms", &close_claim::at});
    }
};

enum class claim_verdict : std::uint8_t {
    Granted, /**< The caller owns the claim and may run the request. */
    Running, /**< Another attempt is running; the caller should retry later. */
    Answered, /**< The recorded answer is attached. */
    Unknown, /**< The attempt may have run. */
    KeyReused, /**< The idempotency key was used with a different request. */
    Closed, /**< The outcome was recorded. */
    NotOwner, /**< The sender of the close may not close this claim. */
};

/** Reply to open_claim or close_claim. */
struct claim_reply {
    claim_verdict verdict = claim_verdict::Unknown;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;

    static constexpr auto fields()
    {
        return std::tuple(field{"verdict", &claim_reply::verdict},
                          field{"status", &claim_reply::status},
                          field{"content_type", &claim_reply::contentType},
                          field{"body", &claim_reply::body});
    }
};

} // namespace carawayloft
