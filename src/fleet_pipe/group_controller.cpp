#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/** Delay before the open order is sent again to a head that was not ready. */
static constexpr duration openResendDelay{150};

/** Time allowed for a head to open, or for an inherited group to form. */
static constexpr duration openTimeout{8'000};

/** Orders to leave are repeated until they are answered; one that was not sent for this time is needed no more. */
static constexpr duration departureRetention{10'000};

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
    m_fences.begin(in.precedingTerm, in.term);
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
    m_closure.setKnown(in.knownServers);
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

/** Records in @p slot the answer to its order, if @p in is that. */
void group_controller::recordOutcome(tracked_order &slot, const order_target &target, const order_finished &in)
{
    if (slot.order != in.order) {
        return;
    }
    // An engine that is not ready yet gets the order again.
    slot.answered = in.outcome != order_outcome::Conflict;
    if (in.outcome == order_outcome::Fenced) {
        const bool isOvertaken = slot.fence && m_fences.isOvertaken(target.backend, *slot.fence);
        slot.fence.reset();
        // A later order to the same engine came first, so this one is sent again at once if it is still needed, but no more than once.
        if (isOvertaken && !slot.isResentAtOnce) {
            slot.isResentAtOnce = true;
            slot.answered = false;
            slot.sent = false;
        }
    }
}

/** Records the answer of an engine with the order that it answers. */
void group_controller::recordAnswer(const order_target &target, const order_finished &in)
{
    if (const auto found = m_groups.find(target.epoch); found != m_groups.end()) {
        managed_group &group = found->second;
        const bool hasClosed = in.outcome == order_outcome::Done || in.outcome == order_outcome::Conflict;
        group.isHeadClosed = group.isHeadClosed || (group.preempt && group.closeOrder.order == in.order && hasClosed);
        recordOutcome(group.openOrder, target, in);
        recordOutcome(group.closeOrder, target, in);
        if (const auto join = group.joinOrders.find(target.backend); join != group.joinOrders.end()) {
            recordOutcome(join->second, target, in);
        }
    }
    if (const auto standby = m_standby.find(target.backend); standby != m_standby.end() && standby->second.epoch == target.epoch) {
        recordOutcome(standby->second.joinOrder, target, in);
    }
    if (const auto leaving = m_departures.find({target.backend, target.epoch}); leaving != m_departures.end() && leaving->second.order.fence == target.fence) {
        // An answer to an earlier sending proves the same.
        if (in.outcome == order_outcome::Done) {
            leaving->second.order.answered = true;
            m_closure.recordLeft({target.backend, target.epoch, leaving->second.startedAt, m_now});
        }
        recordOutcome(leaving->second.order, target, in);
    }
    if (const auto staged = m_staging.find(target.backend); staged != m_staging.end() && target.epoch.value() == 0) {
        recordOutcome(staged->second.order, target, in);
    }
}

void group_controller::handle(const reconcile_groups &in)
{
    if (!m_active) {
        return;
    }
    m_context.emplace(in.context);
    forgetLongGone();
    averageCapacities();
    m_closure.observe(m_context->registry);
    adoptReportedGroups();
    adoptRecordedGroups();
    fenceRestartedServers();
    std::vector<group_epoch> epochs;
    epochs.reserve(m_groups.size());
    for (const auto &[epoch, each] : m_groups) {
        epochs.push_back(epoch);
    }
    for (const group_epoch &epoch : epochs) {
        reconcileGroup(m_groups.at(epoch));
    }
    releaseMembers();
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

/** Forgets orders to servers that are long gone, and orders to leave that were needed long ago. */
void group_controller::forgetLongGone()
{
    std::erase_if(m_departures, [this](const auto &each) { return m_now >= each.second.order.sentAt + departureRetention; });
    if (m_fences.size() > 2 * m_context->registry.entries().size()) {
        m_fences.forgetUnless([this](const backend_id &backend) { return findEntry(backend) != nullptr; });
        m_closure.forgetGone(m_context->registry);
    }
}

const backend_registry::entry *group_controller::findEntry(const backend_id &backend) const
{
    return m_context->registry.find(backend);
}

group_epoch group_controller::nextEpoch(epoch_use use)
{
    m_epochsUsed += 2;
    return group_epoch(m_term.value() * epochsPerTerm + m_epochsUsed + (use == epoch_use::Standby ? 1 : 0));
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
    if (!slot.fence) {
        // Staging changes no membership, so it needs no number of its own, with which it would overtake a join.
        slot.fence = std::holds_alternative<stage_model>(what) ? m_fences.current(backend) : m_fences.next(backend);
    }
    m_pendingOrders[m_lastOrder] = {epoch, backend, *slot.fence};
    m_out.emplace_back(engine_order_requested{m_lastOrder, backend, *slot.fence, std::move(what)});
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
        if (report.epoch != epoch || report.state == membership_state::Joining) {
            ready = false;
            orderToJoin(each, member);
        }
    }
    if (ready) {
        setPhase(each, group_phase::Opening, "all members are ready");
        reconcileOpening(each);
    }
}

/** Orders the server to join, or to leave its group first if that may serve: an earlier leader may have chosen the server. */
void group_controller::orderToJoin(managed_group &each, const backend_id &member)
{
    const group_epoch epoch = each.group.epoch;
    const backend_registry::entry &entry = *findEntry(member);
    const group_epoch reported = entry.record.membership.epoch;
    if (reported != epoch && !isStandbyEpoch(reported) && !m_closure.isOutOfReportedGroup(entry)) {
        reported.value() == 0 ? fenceEarlierOrders(member) : orderToLeave(member, reported);
        return;
    }
    send(each.joinOrders[member], epoch, member, join_group{epoch, each.group.model, each.group.members}, orderResendDelay);
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
