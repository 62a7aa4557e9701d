#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <optional>
#include <variant>
#include <vector>

/** Inputs and outputs of admission control. */
namespace carawayloft {

// Inputs.

/** Demand at all gateways, as control sums it. */
struct demand_granted {
    std::vector<model_traffic> traffic;
    std::vector<class_demand> classes;
    std::uint32_t gateways = 1;
};

/** Demand at this gateway. */
struct own_demand_measured {
    std::vector<model_traffic> traffic;
};

/** Requests per second that the groups of a model answer on time; nothing if no group serves it. */
struct capacity_assessed {
    model_id model;
    std::optional<double> requestsPerSecond;
};

/** Whether to admit a request. */
struct admission_request {
    model_id model;
    request_rank rank;
    client_account_id account;
    bool isReturning = false; /**< Rejected before, so it can hardly meet its objective. */
    duration timeLeft{0}; /**< Until the time limit of the caller. */
    duration earliestReturn{0}; /**< A caller that returns sooner cannot be told from one that comes for the first time. */
};

/** When the caller of a request should return that was admitted, but has not been sent to a backend server. */
struct unserved_request {
    admission_request request;
};

using admission_control_input = std::variant<demand_granted, own_demand_measured, capacity_assessed, admission_request, unserved_request>;

// Outputs.

/** The decision on one request, and what it was based on. */
struct admission_decision {
    bool admitted = true;
    double share = 1.0; /**< Fraction of the requests of this rank and account that is admitted. */
    double capacity = 0.0; /**< Of all groups of the model, in requests per second; zero if unknown. */
    double demand = 0.0; /**< First attempts at all gateways, per second; zero if unknown. */
    duration retryAfter{0}; /**< For a caller that is rejected. */
    bool hasSlot = false; /**< Capacity is expected to be free after that time. */
};

using admission_control_output = std::variant<admission_decision>;

} // namespace carawayloft
