#pragma once

#include <carawayloft/control/records.h>
#include <carawayloft/fleet/fleet_messages.h>

#include <set>
#include <variant>

/** Inputs and outputs of the crash correlator. */
namespace carawayloft {

// Inputs.

/** What one gateway reports of requests that may crash servers. */
struct crash_evidence {
    std::vector<crash_exposure> exposures;
    std::vector<trait_survival> survivals;
};

/** A backend server has ended without having announced that it leaves. */
struct backend_crashed {
    backend_id backend;
};

/** The traits in quarantine, as agreed in the replicated log. */
struct quarantine_changed {
    std::set<service_trait> traits;
};

struct crash_tick {
};

using crash_correlator_input = std::variant<crash_evidence, backend_crashed, quarantine_changed, crash_tick>;

// Outputs.

/** A crash that requests may have caused; logged and counted. */
struct crash_recorded {
    backend_id backend;
    service_id service;
    std::size_t requests = 0; /**< That the server had not begun to answer. */
};

/** Several crashes have a trait in common; logged. */
struct trait_suspected {
    service_trait subject;
    std::uint32_t crashes = 0;
    std::size_t requests = 0; /**< Different requests with the trait in these crashes. */
};

/** A trait to put in quarantine. */
struct quarantine_proposed {
    quarantine_record quarantine;
};

/** A trait whose quarantine has lasted long enough. */
struct quarantine_expired {
    service_trait subject;
};

using crash_correlator_output = std::variant<crash_recorded, trait_suspected, quarantine_proposed, quarantine_expired>;

} // namespace carawayloft
