#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/** Delay before the open order is sent again to a head that was not ready. */
static constexpr duration openResendDelay{150};

/** Time allowed for a head to open, or for an inherited group to form. */
static constexpr duration openTimeout{8'000};

/** Number of epochs reserved for each term. */
static constexpr std::uint64_t epochsPerTerm = 1'000'000;

std::vector<group_controller::output> group_controller::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    std::visit([this](const auto &each) { handle(each); }, in);
    m_context.reset();
    return std::move(m_out);
}

std::vector<engine_group> group_controller::groups() const
{
    std::vector<engine_group> groups;
    groups.reserve(m_groups.size());
    for (const auto &[epoch, each] : m_groups) {
        groups.push_back(each.group);
    }
    return groups;
}

void group_controller::handle(const group_control_began &in)
{
    m_active = true;
    m_term = in.term;
    m_epochsUsed = 0;
    m_groups.clear();
    m_memberOf.clear();
    m_standby.clear();
    m_staging.clear();
    m_pendingOrders.clear();
    m_closure.clear();
    m_departures.clear();
    m_unadoptedSince.clear();
    m_recentLoads.clear();
    m_rebalancedAt = m_now;
    m_plans.clear();
    m_planCapacity = {};
    m_regroupings.clear();
    m_arrivals.clear();
    m_beganAt = m_now;
    m_removalProposedAt.clear();
    m_givenUp.clear();
    takeRecords(in.recorded);
    for (const engine_group &each : in.inherited) {
        inherit(each);
    }
}

void group_controller::handle(const group_control_ended &)
{
    m_active = false;
    m_groups.clear();
    m_memberOf.clear();
    m_standby.clear();
    m_staging.clear();
    m_pendingOrders.clear();
}

void group_controller::handle(const order_finished &in)
{
    const auto found = m_pendingOrders.find(in.order);
    if (found == m_pendingOrders.end()) {
        return;
    }
    const order_target target = found->second;
    m_pendingOrders.erase(found);
    if (in.outcome == order_outcome::Unanswered) {
        return;
    }
    recordAnswer(target, in);
}

/** Records the answer of an engine with the order that it answers. */
void group_controller::recordAnswer(const order_target &target, const order_finished &in)
{
    const auto recordOutcome = [&](tracked_order &slot) {
        if (slot.order == in.order) {
            // An engine that is not ready yet gets the order again.
            slot.answered = in.outcome != order_outcome::Conflict;
        }
    };
    if (const auto group = m_groups.find(target.epoch); group != m_groups.end()) {
        recordOutcome(group->second.openOrder);
        if (group->second.closeOrder.order == in.order) {
            group->second.closeOrder.answered = true;
            // The answer is as good as an announcement, which may have gone to a former leader.
            if (group->second.preempt && in.outcome == order_outcome::Done) {
                m_closure.recordHeadClosed(target.epoch, m_now);
            }
        }
        if (const auto join = group->second.joinOrders.find(target.backend); join != group->second.joinOrders.end()) {
            recordOutcome(join->second);
        }
    }
    if (const auto standby = m_standby.find(target.backend); standby != m_standby.end() && standby->second.epoch == target.epoch) {
        recordOutcome(standby->second.joinOrder);
    }
    if (const auto leaving = m_departures.find(target.backend); leaving != m_departures.end() && leaving->second.order.order == in.order) {
        recordOutcome(leaving->second.order);
        if (in.outcome == order_outcome::Done) {
            m_closure.recordLeft(target.backend, target.epoch, m_now);
        }
    }
    if (const auto staged = m_staging.find(target.backend); staged != m_staging.end() && target.epoch.value() == 0) {
        recordOutcome(staged->second.order);
    }
}

void group_controller::handle(const reconcile_groups &in)
{
    if (!m_active) {
        return;
    }
    m_context.emplace(in.context);
    averageCapacities();
    m_closure.observe(m_context->registry);
    adoptReportedGroups();
    adoptRecordedGroups();
    std::vector<group_epoch> epochs;
    epochs.reserve(m_groups.size());
    for (const auto &[epoch, each] : m_groups) {
        epochs.push_back(epoch);
    }
    for (const group_epoch &epoch : epochs) {
        reconcileGroup(m_groups.at(epoch));
    }
    reconcileStandbys();
    reconcileStaging();
    const bool releasing = isReleasing();
    for (const service_settings &service : m_context->services) {
        if (service.engine && !releasing) {
            reconcileService(service);
        }
    }
    proposeRecords();
}

const backend_registry::entry *group_controller::findEntry(const backend_id &backend) const
{
    return m_context->registry.find(backend);
}

group_epoch group_controller::nextEpoch()
{
    return group_epoch(m_term.value() * epochsPerTerm + ++m_epochsUsed);
}

/** Sends the order unless it was answered, or was sent less than @p resendDelay ago. */
void group_controller::send(tracked_order &slot, group_epoch epoch, const backend_id &backend, engine_order what, duration resendDelay)
{
    if (slot.answered || (slot.sent && m_now < slot.sentAt + resendDelay)) {
        return;
    }
    m_lastOrder = next(m_lastOrder);
    slot.order = m_lastOrder;
    slot.sentAt = m_now;
    slot.firstSentAt = slot.firstSentAt.value_or(m_now);
    slot.sent = true;
    m_pendingOrders[m_lastOrder] = {epoch, backend};
    m_out.emplace_back(engine_order_requested{m_lastOrder, backend, std::move(what)});
}

void group_controller::setPhase(managed_group &each, group_phase phase, const char *reason)
{
    each.group.phase = phase;
    each.phaseStartedAt = m_now;
    m_out.emplace_back(group_changed{each.group, reason});
}

group_controller::managed_group &group_controller::insertGroup(managed_group group)
{
    const group_epoch epoch = group.group.epoch;
    for (const backend_id &member : group.group.members) {
        group_epoch &latest = m_memberOf[member];
        latest = std::max(latest, epoch); // An earlier group may be closed while its servers are in a later one already.
    }
    return m_groups.insert_or_assign(epoch, std::move(group)).first->second;
}

/** Records the starts of the members of an inherited group, so that a restart of one is noticed. */
void group_controller::recordStarts(managed_group &each)
{
    std::vector<std::int64_t> startedAt;
    for (const backend_id &member : each.group.members) {
        if (const backend_registry::entry *entry = findEntry(member)) {
            startedAt.push_back(entry->record.startedAt);
        }
    }
    if (startedAt.size() == each.group.members.size()) {
        each.startedAt = std::move(startedAt);
    }
}

void group_controller::reconcileGroup(managed_group &each)
{
    if (each.startedAt.empty()) {
        recordStarts(each);
    }
    switch (each.group.phase) {
    case group_phase::Forming:
        reconcileForming(each);
        break;
    case group_phase::Opening:
        reconcileOpening(each);
        break;
    case group_phase::Open:
        if (!each.incomplete || completeAdopted(each)) {
            reconcileOpen(each);
        }
        break;
    case group_phase::Closing:
        reconcileClosing(each);
        break;
    }
}

/** Reason why the group is incomplete, or nullptr. */
const char *group_controller::missingMemberReason(const managed_group &each) const
{
    for (std::size_t i = 0; i < each.group.members.size(); ++i) {
        const backend_registry::entry *entry = findEntry(each.group.members[i]);
        if (entry == nullptr || entry->record.state == backend_state::Lost || entry->record.state == backend_state::Left) {
            return "a member was lost";
        }
        if (i < each.startedAt.size() && entry->record.startedAt > each.startedAt[i]) {
            return "a member restarted";
        }
    }
    return nullptr;
}

bool group_controller::hasDrainingMember(const managed_group &each) const
{
    return std::any_of(each.group.members.begin(), each.group.members.end(), [this](const backend_id &member) {
        const backend_registry::entry *entry = findEntry(member);
        return entry != nullptr && entry->record.state == backend_state::Draining;
    });
}

/** Gives up a group that is not open. The leader that this one inherited it from may have told it to open meanwhile. */
void group_controller::abandonFormation(managed_group &each, const char *reason)
{
    if (each.inherited) {
        close(each, true, reason);
        return;
    }
    m_closure.recordEnd(each.group.epoch);
    dissolve(each.group.epoch, reason);
}

void group_controller::reconcileForming(managed_group &each)
{
    const group_epoch epoch = each.group.epoch;
    if (const char *missing = missingMemberReason(each)) {
        abandonFormation(each, missing);
        return;
    }
    if (hasDrainingMember(each) || m_now >= each.deadline) {
        abandonFormation(each, "formation failed or timed out");
        return;
    }
    if (!isRecorded(each)) {
        return;
    }
    const membership_report &head = findEntry(each.group.head())->record.membership;
    if (each.inherited && head.epoch == epoch && head.state == membership_state::Open) {
        // Its members were ready when it was told to open, so traffic need not wait for their announcements.
        each.incomplete = true;
        setPhase(each, group_phase::Open, "the head serves");
        return;
    }
    bool ready = true;
    for (const backend_id &member : each.group.members) {
        const membership_report &report = findEntry(member)->record.membership;
        if (report.epoch == epoch && report.state != membership_state::Joining) {
            continue;
        }
        ready = false;
        send(each.joinOrders[member], epoch, member, join_group{epoch, each.group.model, each.group.members}, orderResendDelay);
    }
    if (ready) {
        setPhase(each, group_phase::Opening, "all members are ready");
        reconcileOpening(each);
    }
}

void group_controller::reconcileOpening(managed_group &each)
{
    if (const char *missing = missingMemberReason(each)) {
        close(each, true, missing);
        return;
    }
    const membership_report &head = findEntry(each.group.head())->record.membership;
    if (head.epoch == each.group.epoch && head.state == membership_state::Open) {
        setPhase(each, group_phase::Open, "the head serves");
        return;
    }
    if (m_now >= each.phaseStartedAt + openTimeout) {
        close(each, true, "the head did not open in time");
        return;
    }
    if (!isRecorded(each)) {
        return;
    }
    // The order is repeated until the head reports that it serves: an answer only confirms receipt.
    each.openOrder.answered = each.openOrder.answered && m_now < each.openOrder.sentAt + orderResendDelay;
    send(each.openOrder, each.group.epoch, each.group.head(), open_group{each.group.epoch}, openResendDelay);
}

void group_controller::reconcileOpen(managed_group &each)
{
    if (each.group.phase != group_phase::Open) {
        return;
    }
    if (const char *missing = missingMemberReason(each)) {
        close(each, true, missing);
        return;
    }
    for (const backend_id &member : each.group.members) {
        const backend_registry::entry &entry = *findEntry(member);
        const membership_report &report = entry.record.membership;
        if (each.incomplete && m_closure.isBoundByRecord(entry, each.group.epoch)) {
            continue; // It may not have announced itself since it joined.
        }
        if (report.epoch != each.group.epoch) {
            close(each, true, "a member reports another group or none");
            return;
        }
        if (report.state == membership_state::Broken) {
            close(each, true, "the head reports the group as broken");
            return;
        }
    }
    const membership_state head = findEntry(each.group.head())->record.membership.state;
    if (head == membership_state::Ready || head == membership_state::Closing) {
        close(each, true, "the head stopped serving unexpectedly");
    } else if (hasDrainingMember(each)) {
        close(each, false, "a member is draining");
    }
}

} // namespace carawayloft
