#pragma once

#include <carawayloft/fleet/backend_registry.h>
#include <carawayloft/fleet/capacity_estimate.h>
#include <carawayloft/fleet/domain_pool.h>
#include <carawayloft/fleet/engine_order.h>
#include <carawayloft/fleet/group_closure.h>
#include <carawayloft/fleet/model_allocation.h>
#include <carawayloft/fleet/order_fences.h>
#include <carawayloft/fleet/plan_capacity.h>
#include <carawayloft/fleet/regrouping_balance.h>

#include <deque>
#include <optional>
#include <set>

namespace carawayloft {

/** Inputs of one reconcile pass. */
struct reconcile_context {
    const backend_registry &registry;
    const std::vector<service_settings> &services;
    const std::set<availability_zone_id> &zonesOut;
    bool trafficStarted = true; /**< Whether callers may have sent requests; before that, the rate limit of the weight store is not applied. */
    fleet_traffic modelTraffic; /**< Demand by callers, as gateways report it. */
    double trafficConfidence = 0.0; /**< From 0 to 1: how well modelTraffic represents the total demand. */
    std::map<model_id, capacity_estimate> capacities{}; /**< Learned from the answers of groups; without an entry, the published figures hold. */
};

// Inputs.

struct reconcile_groups {
    reconcile_context context;
};

/** This replica became the leader; @p inherited are the groups that the previous leader mirrored to it. */
struct group_control_began {
    log_term term;
    log_term precedingTerm{}; /**< Of the last earlier leader that may have ordered engines. */
    std::vector<engine_group> inherited;
    std::vector<engine_group_record> recorded{}; /**< In the replicated log. */
    std::vector<backend_id> knownServers{}; /**< Those that earlier leaders may have ordered, as far as is known. */
};

/** The groups in the replicated log are now these. */
struct groups_recorded {
    std::vector<engine_group_record> groups;
};

struct group_control_ended {
};

struct order_finished {
    order_id order;
    order_outcome outcome = order_outcome::Unanswered;
};

using group_controller_input = std::variant<reconcile_groups, group_control_began, groups_recorded, group_control_ended, order_finished>;

// Outputs.

struct engine_order_requested {
    order_id order;
    backend_id backend;
    fencing_token fence;
    engine_order what;
};

/** A group is new or has changed its phase. */
struct group_changed {
    engine_group group;
    const char *reason = "";
};

/** A group was dissolved; its members are free. */
struct group_retired {
    group_epoch epoch;
    const char *reason = "";
};

/** A change of the groups in the replicated log; proposed again until it is made. */
struct group_records_proposed {
    std::vector<engine_group_record> formed; /**< No server is ordered to join them before they are in the log. */
    std::vector<group_epoch> retired;
};

/** What the allocation assumes and plans for one model. */
struct model_assessed {
    model_id model;
    double requestsPerSecond = 0.0; /**< Demand by callers. */
    std::size_t groups = 0; /**< Groups in any phase but closing. */
    std::size_t plannedGroups = 0;
    double onTimeShare = 0.0; /**< Fraction of the demand that the groups are expected to serve in time. */
    double observedOnTimeShare = 1.0; /**< Fraction of the admitted first attempts that was on time within the last second. */
    double capacityFactor = 1.0; /**< Learned capacity over the published one. */
};

using group_controller_output = std::variant<engine_order_requested, group_changed, group_retired, group_records_proposed, model_assessed>;

/**
 * Forms, opens, closes and repairs groups of engines. The engines hold the membership, so a new leader
 * recovers it from their reports. A group that will open is in the replicated log before any server is ordered to
 * join it, and until its head is known not to serve, so that a new leader knows each group that may be open. Epochs derive from the term of the replicated log,
 * which only increases.
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
    /** Time after which an unanswered order is sent again. */
    static constexpr duration orderResendDelay{500};

    /** An order that is sent again until it is answered. */
    struct tracked_order {
        order_id order;
        time_point sentAt;
        bool sent = false;
        bool answered = false;
        std::optional<time_point> firstSentAt;
        std::optional<fencing_token> fence; /**< The same each time that the order is sent, unless it was refused for it. */
        bool isResentAtOnce = false; /**< Whether it was, since a later order had overtaken it. */
    };
    struct managed_group {
        engine_group group;
        std::vector<std::int64_t> startedAt; /**< Start time of each member when it was selected; tells a restart. */
        std::map<backend_id, tracked_order> joinOrders;
        tracked_order openOrder;
        tracked_order closeOrder;
        bool inherited = false; /**< Formed by another leader, which mirrored it. */
        bool incomplete = false; /**< Adopted from the report of its head; some other members have not announced themselves yet. */
        std::optional<time_point> recordProposedAt;
        bool preempt = false;
        time_point preemptedAt; /**< When running requests were first given up, if preempt. */
        bool isHeadClosed = false; /**< Whether its answer to the order to give up running requests says that it does not serve. */
        time_point phaseStartedAt; /**< Start of the current phase. */
        time_point deadline; /**< The group is dissolved if it is not ready by then. */
    };
    /** A free backend server that loads or holds a model for the next group that needs it. */
    struct standby {
        group_epoch epoch;
        model_id model;
        std::int64_t startedAt = 0;
        tracked_order joinOrder;
        time_point expectedReadyAt;
        time_point deadline;
        bool loadsFromStore = false;
    };
    /** A backend server whose host loads an additional model in the background. */
    struct staging {
        model_id model;
        std::int64_t startedAt = 0;
        tracked_order order;
        time_point deadline;
    };
    /** The order to a server to leave a group. */
    struct departure_order {
        std::int64_t startedAt = 0; /**< Start of the run of the server that is to leave. */
        time_point requestedAt;
        tracked_order order;
    };
    using departure_key = std::pair<backend_id, group_epoch>;
    /** The group or backend server that an order is for. */
    struct order_target {
        group_epoch epoch; /**< Zero for no group. */
        backend_id backend;
        fencing_token fence; /**< The same for all sendings of one order. */
    };
    /** What the group of an epoch is for; the epoch itself tells it, also to later leaders. */
    enum class epoch_use : std::uint8_t {
        Service, /**< Its head may be told to open. */
        Standby, /**< A group of one server that never opens. */
    };
    using domain_pools = std::map<fabric_domain_id, domain_pool>;

    /** Groups of one domain to close, so that groups of another model are formed of their members. */
    struct regrouping {
        regrouping_direction direction;
        std::vector<group_epoch> closed;
        double gain = 0.0; /**< Utility after it over that of the groups as they are, less the disturbance. */
        double cost = 0.0; /**< Utility lost while the members join, added up over that time. */
    };

    /** Servers of one fabric domain that came recently; more may follow. */
    struct domain_arrivals {
        std::size_t known = 0; /**< Servers at the last look. */
        std::deque<time_point> recent; /**< When servers beyond the known ones came. */
    };

    void handle(const reconcile_groups &in);
    void handle(const group_control_began &in);
    void handle(const groups_recorded &in);
    void handle(const group_control_ended &in);
    void handle(const order_finished &in);
    void recordAnswer(const order_target &target, const order_finished &in);
    void recordOutcome(tracked_order &slot, const order_target &target, const order_finished &in);
    void forgetLongGone();

    // Groups.
    void recordStarts(managed_group &each);
    void reconcileGroup(managed_group &each);
    void abandonFormation(managed_group &each, const char *reason);
    void reconcileForming(managed_group &each);
    void reconcileOpening(managed_group &each);
    void reconcileOpen(managed_group &each);
    void reconcileClosing(managed_group &each);
    bool mayHeadLeave(const managed_group &each) const;
    void orderHeadToEnd(managed_group &each);
    void orderMembersToLeave(const engine_group &group);
    void releaseMembers();
    bool mayReachHead(const managed_group &each) const;
    void abandon(managed_group &each, const char *reason);
    void orderToLeave(const backend_id &member, group_epoch epoch);
    void fenceEarlierOrders(const backend_id &member);
    void orderToJoin(managed_group &each, const backend_id &member);
    bool isReleasing() const;
    const char *missingMemberReason(const managed_group &each) const;
    bool hasDrainingMember(const managed_group &each) const;
    void close(managed_group &each, bool preempt, const char *reason);
    void setPhase(managed_group &each, group_phase phase, const char *reason);
    void startPreempting(managed_group &each);
    void dissolve(group_epoch epoch, const char *reason);

    // Groups that another leader formed, adopted from the reports of their members.
    void adoptReportedGroups();
    void fenceRestartedServers();
    void adopt(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks);
    void releaseHeadless(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks);
    void orderAllToLeave(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks);
    managed_group &insertGroup(managed_group group);
    bool completeAdopted(managed_group &each);
    const model_profile *findProfile(const service_id &service, const model_id &model) const;

    // Groups in the replicated log.
    void takeRecords(const std::vector<engine_group_record> &records);
    void inherit(const engine_group &group);
    void adoptRecordedGroups();
    void adoptRecorded(const engine_group_record &record);
    void release(const engine_group_record &record);
    void giveUp(group_epoch epoch);
    managed_group &insertRecorded(const engine_group_record &record);
    bool isSuperseded(const engine_group_record &record) const;
    bool isRecorded(const managed_group &each) const;
    bool isOver(const engine_group_record &record) const;
    engine_group_record recordOf(const managed_group &each) const;
    void proposeRecords();

    // Formation.
    void reconcileService(const service_settings &service);
    bool serversStillRegistering();
    domain_pools buildPools(const service_settings &service) const;
    std::optional<spare_backend> spareFrom(const backend_registry::entry &entry) const;
    const managed_group *findGroup(const backend_id &backend) const;
    bool isFree(const backend_registry::entry &entry) const;
    void formGroup(const service_settings &service, const planned_group &chosen);
    void averageCapacities();
    fleet_utility makeUtility(const service_settings &service) const;
    fleet_composition compose(const service_settings &service, const domain_pools &pools) const;
    const fleet_plan &planFor(const service_settings &service, const fleet_utility &utility, const domain_pools &pools);
    bool isReturning(const fabric_domain_id &domain, const domain_pool &pool, std::size_t smallestGroup);
    void assessModels(const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, const fleet_plan &plan);

    // Rebalancing.
    void rebalance(const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, domain_pools pools, const fleet_plan &plan);
    std::vector<regrouping> possibleRegroupings(
        const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, const domain_pools &pools, const fleet_plan &plan) const;
    std::vector<regrouping> regroupingsOf(const service_settings &service,
                                          const fleet_utility &utility,
                                          const fleet_composition &fleet,
                                          const std::pair<const fabric_domain_id, domain_pool> &domain,
                                          const group_counts &planned) const;
    std::vector<group_epoch>
    groupsToFree(const service_settings &service, const fabric_domain_id &domain, const model_profile &from, const model_profile &to, domain_pool &pool) const;
    bool isClosingIn(const fabric_domain_id &domain) const;
    fabric_domain_id domainOf(const managed_group &group) const;
    std::vector<spare_backend> membersAsSpares(const managed_group &group) const;
    void addUpcomingSpares(const service_settings &service, domain_pools &pools) const;

    // Weights.
    void assignStandbys(const service_settings &service, domain_pool &pool, const std::vector<std::size_t> &target);
    void startStandby(const model_profile &model, const backend_id &backend, bool loadsFromStore);
    void reconcileStandbys();
    void stageAdditionalModels(const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, const domain_pools &pools);
    std::vector<const managed_group *> openGroups(const service_settings &service) const;
    std::vector<const managed_group *> groupsToStageOn(const service_settings &service, const domain_pools &pools) const;
    std::size_t replacementCount(const fabric_domain_id &domain, const domain_pool &pool, const model_profile &model) const;
    void startStaging(const model_profile &model, const backend_id &backend);
    void reconcileStaging();
    std::size_t activeLoads() const;
    bool mayLoad(const service_settings &service, std::size_t extra) const;
    void recordLoadStart();

    void send(tracked_order &slot, group_epoch epoch, const backend_id &backend, engine_order what, duration resendDelay);
    group_epoch nextEpoch(epoch_use use);
    const backend_registry::entry *findEntry(const backend_id &backend) const;

    time_point m_now;
    std::optional<reconcile_context> m_context; /**< Set only during a step. */
    std::vector<output> m_out;
    bool m_active = false;
    log_term m_term;
    std::uint64_t m_epochsUsed = 0;
    order_id m_lastOrder;
    order_fences m_fences;
    std::map<group_epoch, managed_group> m_groups;
    std::map<backend_id, group_epoch> m_memberOf; /**< Members of the groups in m_groups. */
    std::map<backend_id, standby> m_standby;
    std::map<backend_id, staging> m_staging;
    std::map<order_id, order_target> m_pendingOrders;
    group_closure m_closure;
    time_point m_beganAt;
    std::map<group_epoch, engine_group_record> m_recorded; /**< Groups in the replicated log. */
    std::map<group_epoch, time_point> m_removalProposedAt;
    std::map<group_epoch, time_point> m_givenUp; /**< Groups in the log whose head may serve, but that this leader orders no more; since when. */
    std::map<departure_key, departure_order> m_departures; /**< Orders to leave, of each server and group. */
    std::size_t m_registeredCount = 0; /**< Backend servers in the registry at the last check of their number. */
    time_point m_lastRegisteredAt; /**< When that number last changed. */
    std::map<group_epoch, time_point> m_unadoptedSince;
    std::map<service_id, fleet_plan> m_plans;
    std::map<service_id, time_point> m_plannedAt;
    plan_capacity m_planCapacity;
    std::map<service_id, regrouping_balance> m_regroupings;
    std::map<fabric_domain_id, domain_arrivals> m_arrivals;
    time_point m_rebalancedAt;
    std::vector<group_epoch> m_surplusGroups; /**< Groups whose members have more utility in other groups. */
    time_point m_surplusSince;
    std::map<model_id, model_assessed> m_assessed; /**< Last reported. */
    std::map<model_id, time_point> m_assessedAt;
    std::deque<time_point> m_recentLoads; /**< Starts of loads within the rate window. */
};

static_assert(filter<group_controller>);

} // namespace carawayloft
