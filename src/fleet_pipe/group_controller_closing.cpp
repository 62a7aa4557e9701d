#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

// How groups are closed and their members released.

namespace carawayloft {

/** Time allowed for a head that answered the close order to report the new state. */
static constexpr duration closeResendDelay{120};

/** Time allowed for a head to answer the order to give up its requests, and to report the new state. */
static constexpr duration closeAnswerTimeout{120};

/** Time allowed for a draining group to finish its requests before they are aborted. */
static constexpr duration drainTimeout{2'500};

/** Time allowed for a head to stop at once; members of a head that does not say so leave it. */
static constexpr duration headAnswerTimeout{700};

/**
 * Time after which an order to leave is sent again. All members have to answer before they are used, so an order that is
 * lost must not cost a whole timeout; the answer to any sending counts.
 */
static constexpr duration leaveResendDelay{150};

/** Epochs of groups that are formed are higher. */
static constexpr group_epoch neverFormed{1};

/** Time for which plans and formation wait for members that were told to leave: of a part of them only smaller groups would be formed. */
static constexpr duration leaveAnswerTime{500};

/** Takes the group out of the records. Its members are free only as far as m_closure says so. */
void group_controller::dissolve(group_epoch epoch, const char *reason)
{
    for (const backend_id &member : m_groups.at(epoch).group.members) {
        if (const auto found = m_memberOf.find(member); found != m_memberOf.end() && found->second == epoch) {
            m_memberOf.erase(found);
        }
    }
    m_groups.erase(epoch);
    m_out.emplace_back(group_retired{epoch, reason});
}

void group_controller::close(managed_group &each, bool preempt, const char *reason)
{
    each.closeOrder = {};
    each.preempt = false;
    if (preempt) {
        startPreempting(each);
    }
    setPhase(each, group_phase::Closing, reason);
    reconcileClosing(each);
}

void group_controller::startPreempting(managed_group &each)
{
    each.preempt = true;
    each.preemptedAt = m_now;
    each.closeOrder = {};
    each.isHeadClosed = false;
}

/**
 * Whether an order to leave the group breaks off no requests that the head may still finish. What the head announces is no
 * proof that it serves no more: it may be older than an order to open, and that order may be carried out later still.
 */
bool group_controller::mayHeadLeave(const managed_group &each) const
{
    const backend_registry::entry *head = findEntry(each.group.head());
    const bool hasRestarted = head != nullptr && !each.startedAt.empty() && head->record.startedAt > each.startedAt.front();
    const bool hasGivenUp = each.preempt && (each.isHeadClosed || m_now >= each.preemptedAt + closeAnswerTimeout);
    if (hasRestarted || hasGivenUp) {
        return true;
    }
    const bool isHeardSince = head != nullptr && each.closeOrder.firstSentAt && head->heardAt > *each.closeOrder.firstSentAt;
    return isHeardSince && each.closeOrder.answered && !m_closure.serves(each.group.epoch);
}

/** Orders the head to close, and to leave the group once it has: an order to open that is carried out late opens nothing then. */
void group_controller::orderHeadToEnd(managed_group &each)
{
    const group_epoch epoch = each.group.epoch;
    if (mayHeadLeave(each)) {
        orderToLeave(each.group.head(), epoch);
        orderMembersToLeave(each.group);
        return;
    }
    // While the head reports that it serves, the order may have been lost after it was answered.
    each.closeOrder.answered = each.closeOrder.answered && m_now < each.closeOrder.sentAt + closeResendDelay;
    send(each.closeOrder, epoch, each.group.head(), close_group{epoch, each.preempt}, orderResendDelay);
}

/** Whether the head may receive orders; one that has announced its departure goes on for a while. */
bool group_controller::mayReachHead(const managed_group &each) const
{
    const backend_registry::entry *head = findEntry(each.group.head());
    return head != nullptr && head->record.state != backend_state::Lost;
}

void group_controller::reconcileClosing(managed_group &each)
{
    const group_epoch epoch = each.group.epoch;
    if (const closure_proof proof = m_closure.proofFor(epoch, findEntry(each.group.head())); proof != closure_proof::None) {
        m_closure.recordEnd(epoch, findEntry(each.group.head()));
        dissolve(epoch, describe(proof));
        return;
    }
    if (!each.preempt && m_now >= each.phaseStartedAt + drainTimeout) {
        startPreempting(each);
    }
    if (mayReachHead(each)) {
        orderHeadToEnd(each);
    }
    const bool mayAnswer = mayReachHead(each) && (!each.preempt || m_now < each.preemptedAt + headAnswerTimeout);
    if (!mayAnswer) {
        abandon(each, "the head does not answer; its members leave");
    }
}

/** Gives up a group whose head may serve: each member is free once it has left. */
void group_controller::abandon(managed_group &each, const char *reason)
{
    const engine_group group = each.group;
    giveUp(group.epoch);
    dissolve(group.epoch, reason);
    orderMembersToLeave(group);
}

/** Orders the members beside the head to leave the group, as far as they may be in it and can be reached. */
void group_controller::orderMembersToLeave(const engine_group &group)
{
    for (const backend_id &member : group.members) {
        const backend_registry::entry *entry = findEntry(member);
        const bool isPresent = entry != nullptr && (entry->record.state == backend_state::Ready || entry->record.state == backend_state::Draining);
        if (member != group.head() && isPresent && m_closure.mayBeIn(*entry, group.epoch)) {
            orderToLeave(member, group.epoch);
        }
    }
}

/** Has the servers without a group leave the ones that are over, which they have to before they join another one. */
void group_controller::releaseMembers()
{
    for (const auto &[id, entry] : m_context->registry.entries()) {
        if (entry.record.state != backend_state::Ready || findGroup(id) != nullptr || m_standby.contains(id)) {
            continue;
        }
        for (const group_epoch &epoch : {entry.record.membership.epoch, m_closure.recordedEpoch(id)}) {
            if (m_closure.hasEnded(epoch) && !isStandbyEpoch(epoch) && m_closure.mayBeIn(entry, epoch)) {
                orderToLeave(id, epoch);
            }
        }
    }
}

/** Sends the order until this run of the server has answered that it is not in the group. */
void group_controller::orderToLeave(const backend_id &member, group_epoch epoch)
{
    const std::int64_t startedAt = findEntry(member)->record.startedAt;
    departure_order &leaving = m_departures.try_emplace({member, epoch}, departure_order{startedAt, m_now, {}}).first->second;
    if (leaving.startedAt != startedAt) {
        leaving = {startedAt, m_now, {}};
    }
    leaving.order.answered = leaving.order.answered && m_now < leaving.order.sentAt + orderResendDelay;
    send(leaving.order, epoch, member, leave_group{epoch}, leaveResendDelay);
}

/** Orders the server to leave a group that never was: once it has answered, it refuses all orders to an earlier run of it. */
void group_controller::fenceEarlierOrders(const backend_id &member)
{
    orderToLeave(member, neverFormed);
}

/** Whether any server was told to leave its group just now and has not confirmed it yet. */
bool group_controller::isReleasing() const
{
    return std::any_of(m_departures.begin(), m_departures.end(), [&](const auto &each) {
        const auto &[backend, epoch] = each.first;
        const backend_registry::entry *entry = m_now < each.second.requestedAt + leaveAnswerTime ? findEntry(backend) : nullptr;
        return entry != nullptr && m_closure.mayBeIn(*entry, epoch);
    });
}

} // namespace carawayloft
