#pragma once

#include <carawayloft/fleet/backend_registry.h>
#include <carawayloft/fleet/domain_pool.h>
#include <carawayloft/fleet/engine_order.h>
#include <carawayloft/fleet/model_allocation.h>

#include <deque>
#include <optional>
#include <set>

namespace carawayloft {

/** What the keeper decides from. */
struct reconcile_context {
    const backend_registry &registry;
    const std::vector<service_settings> &services;
    const std::set<availability_zone_id> &zonesOut;
    bool traffic = true; /**< Whether callers may have sent requests yet; before, the weight store is not counted. */
    fleet_traffic asked; /**< By callers, as gateways have told it. */
    double askedKnown = 0.0; /**< From 0 to 1: how far it stands for all that callers ask. */
};

// Inputs.

struct reconcile_groups {
    reconcile_context view;
};

/** This replica leads from now on; @p inherited is what it knew of the groups. */
struct group_control_began {
    log_term term;
    std::vector<engine_group> inherited;
};

struct group_control_ended {
};

struct order_finished {
    order_id order;
    order_outcome outcome = order_outcome::Unanswered;
};

using group_controller_input = std::variant<reconcile_groups, group_control_began, group_control_ended, order_finished>;

// Outputs.

/** Give the order to the backend server. */
struct engine_order_requested {
    order_id order;
    backend_id backend;
    engine_order what;
};

/** A group is new or in another phase. */
struct group_changed {
    engine_group group;
    const char *reason = "";
};

/** A group is no more; its members are free. */
struct group_retired {
    group_epoch epoch;
    const char *reason = "";
};

using group_controller_output = std::variant<engine_order_requested, group_changed, group_retired>;

/**
 * Forms, opens, closes and repairs groups of engines. The engines hold the membership, so a new leader
 * takes it over from what they report; epochs are made of the log's term, which only grows.
 */
class group_controller
{
public:
    using input = group_controller_input;
    using output = group_controller_output;

    std::vector<output> step(const input &in, time_point now);

    /** Groups in any phase. */
    std::vector<engine_group> groups() const;

private:
    /** Time after which an order that got no answer is given again. */
    static constexpr duration orderResendDelay{500};

    /** An order and what came of it; sent again until it is answered. */
    struct sent_order {
        order_id order;
        time_point sentAt;
        bool sent = false;
        bool answered = false;
    };
    struct managed_group {
        engine_group group;
        std::vector<std::int64_t> startedAt; /**< Of each member when it was chosen. */
        std::map<backend_id, sent_order> joins;
        sent_order opening;
        sent_order closeOrder;
        bool incomplete = false; /**< Taken over from its head alone; the other members have not announced themselves yet. */
        bool preempt = false;
        time_point since; /**< Of the present phase. */
        time_point due; /**< A group that is not ready by then is given up. */
    };
    /** A free backend server that holds a model for the next group that needs it. */
    struct standby {
        group_epoch epoch;
        model_id model;
        std::int64_t startedAt = 0;
        sent_order join;
        time_point readyAt; /**< As expected. */
        time_point due;
        bool loads = false; /**< From the weight store. */
    };
    /** A backend server whose host loads one more model in the background. */
    struct staging {
        model_id model;
        std::int64_t startedAt = 0;
        sent_order order;
        time_point due;
    };
    /** Where an order belongs. */
    struct order_place {
        group_epoch epoch; /**< Zero for no group. */
        backend_id backend;
    };
    using domain_pools = std::map<fabric_domain_id, domain_pool>;

    void take(const reconcile_groups &in);
    void take(const group_control_began &in);
    void take(const group_control_ended &in);
    void take(const order_finished &in);

    // Groups.
    void lookAtGroup(managed_group &each);
    void lookAtForming(managed_group &each);
    void lookAtOpening(managed_group &each);
    void lookAtOpen(managed_group &each);
    void lookAtClosing(managed_group &each);
    bool headHasClosed(const managed_group &each) const;
    const char *memberMissing(const managed_group &each) const;
    bool memberLeaves(const managed_group &each) const;
    void close(managed_group &each, bool preempt, const char *reason);
    void setPhase(managed_group &each, group_phase phase, const char *reason);
    void retire(group_epoch epoch, const char *reason);
    void findServing();
    bool headMayStillServe(const backend_registry::entry &entry) const;

    // Groups that another leader formed.
    void adoptUnknown();
    void adopt(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks);
    managed_group &place(managed_group group);
    void lookAtIncomplete(managed_group &each);
    const model_profile *profileOf(const service_id &service, const model_id &model) const;

    // Formation.
    void planService(const service_settings &service);
    bool stillArriving();
    domain_pools poolsOf(const service_settings &service) const;
    std::optional<spare_backend> spareOf(const backend_registry::entry &entry) const;
    const managed_group *groupOf(const backend_id &backend) const;
    bool isFree(const backend_registry::entry &entry) const;
    void form(const service_settings &service, const planned_group &chosen);
    void rebalance(const service_settings &service, const fleet_utility &value, const fleet_counts &fleet, domain_pools pools);
    void addSoonReady(const service_settings &service, domain_pools &pools) const;
    fleet_utility weigh(const service_settings &service) const;
    group_counts countGroups(const service_settings &service) const;

    // Weights.
    void prepare(const service_settings &service, domain_pool &pool, const domain_allocation &target);
    void startStandby(const model_profile &model, const backend_id &backend, bool loads);
    void lookAtStandby();
    void stageMore(const service_settings &service, const fleet_utility &value, const fleet_counts &fleet, const domain_pools &pools);
    bool lendsMembers(const service_settings &service, const managed_group &group, const domain_pools &pools) const;
    bool lenderExists(const model_profile &model, const managed_group &group, const fabric_domain_id &domain) const;
    void startStaging(const model_profile &model, const backend_id &backend);
    void lookAtStaging();
    std::size_t loading() const;
    bool mayLoad(const service_settings &service, std::size_t extra) const;
    void countLoad();

    void send(sent_order &slot, group_epoch epoch, const backend_id &backend, engine_order what, duration again);
    group_epoch nextEpoch();
    const backend_registry::entry *entryOf(const backend_id &backend) const;

    time_point m_now;
    std::optional<reconcile_context> m_view; /**< While a step runs. */
    std::vector<output> m_out;
    bool m_keeping = false;
    log_term m_term;
    std::uint64_t m_epochs = 0;
    order_id m_lastOrder;
    time_point m_beganAt;
    std::map<group_epoch, managed_group> m_groups;
    std::map<backend_id, group_epoch> m_memberOf; /**< Of the groups in m_groups. */
    std::map<backend_id, standby> m_standby;
    std::map<backend_id, staging> m_staging;
    std::map<order_id, order_place> m_orders;
    std::set<group_epoch> m_retired;
    std::map<group_epoch, backend_id> m_unsure; /**< Retired without a word of their head, which nobody reached. */
    std::map<group_epoch, time_point> m_closedAt; /**< When their heads answered that they serve no more. */
    std::set<group_epoch> m_serving; /**< Epochs whose head says that it serves. */
    std::size_t m_arrived = 0; /**< Backend servers known at the last look. */
    time_point m_arrivedAt; /**< Of the last one. */
    std::map<group_epoch, time_point> m_unknownSince;
    time_point m_rebalancedAt;
    std::optional<group_epoch> m_surplus; /**< Group whose members are worth more in another one. */
    time_point m_surplusSince;
    std::deque<time_point> m_loads; /**< Starts of loads within the last window. */
};

static_assert(filter<group_controller>);

} // namespace carawayloft
