#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/** Claims of non-idempotent requests: at most one attempt runs for each (client account, idempotency key). */
namespace carawayloft {

enum class claim_state : std::uint8_t {
    Running,
    Answered,
    Unknown, /**< It may have run; nobody will run it again. */
};

struct claim_record {
    client_account_id account;
    idempotency_key key;
    std::uint64_t requestDigest = 0; /**< Hash of method, path and body. */
    request_id owner; /**< The one request that may run. */
    service_id service;
    wall_time openedAt;
    wall_time deadline; /**< After this the owner dispatches no more. */
    claim_state state = claim_state::Running;
    std::uint32_t status = 0; /**< HTTP status of the recorded answer. */
    std::string contentType;
    std::string body;
    std::string settledBy; /**< The operator who settled an unknown claim. */

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

/** Asks for the right to run a request; repeated by the same owner it gets the same right. */
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

/** Records what became of a claim. Only its owner, or an operator once it is unknown, can close it. */
struct close_claim {
    client_account_id account;
    idempotency_key key;
    request_id owner;
    claim_outcome outcome = claim_outcome::Unknown;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    std::string settledBy; /**< Set when an operator settles an unknown claim. */
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
    Running, /**< Another attempt runs; ask again. */
    Answered, /**< The recorded answer is attached. */
    Unknown, /**< The attempt may have run. */
    KeyReused, /**< The key was used with another request. */
    Closed, /**< A close was recorded. */
    NotOwner, /**< A close came from somebody who does not own the claim. */
};

/** What an open or close came to. */
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
