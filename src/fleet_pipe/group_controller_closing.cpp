#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

// How groups are closed and their members released.

namespace carawayloft {

/** Time allowed for a head that answered the close order to report the new state. */
static constexpr duration closeResendDelay{120};

/** Time allowed for a draining group to finish its requests before they are aborted. */
static constexpr duration drainTimeout{2'500};

/** Time allowed for a head to stop at once; members of a head that does not say so leave it. */
static constexpr duration headAnswerTimeout{700};

/** Time for which plans and formation wait for members that were told to leave: with all of them there is less to load, and one plan does. */
static constexpr duration leaveAnswerTime{150};

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
}

closure_proof group_controller::proofOfClosure(const managed_group &each) const
{
    closing_head head;
    head.epoch = each.group.epoch;
    head.entry = findEntry(each.group.head());
    if (!each.startedAt.empty()) {
        head.startedAt = each.startedAt.front();
    }
    if (each.closeOrder.answered) {
        head.closeOrderedAt = each.closeOrder.firstSentAt;
    }
    return m_closure.proofFor(head);
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
    if (const closure_proof proof = proofOfClosure(each); proof != closure_proof::None) {
        m_closure.recordEnd(epoch);
        dissolve(epoch, describe(proof));
        return;
    }
    if (!each.preempt && m_now >= each.phaseStartedAt + drainTimeout) {
        startPreempting(each);
    }
    if (mayReachHead(each)) {
        // While the head reports that it serves, the order may have been lost after it was answered.
        each.closeOrder.answered = each.closeOrder.answered && m_now < each.closeOrder.sentAt + closeResendDelay;
        send(each.closeOrder, epoch, each.group.head(), close_group{epoch, each.preempt}, orderResendDelay);
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
    giveUp(group.epoch, each.closeOrder.answered ? each.closeOrder.firstSentAt : std::nullopt);
    dissolve(group.epoch, reason);
    for (const backend_id &member : group.members) {
        const backend_registry::entry *entry = findEntry(member);
        const bool isPresent = entry != nullptr && (entry->record.state == backend_state::Ready || entry->record.state == backend_state::Draining);
        const bool mayBeIn = isPresent && (entry->record.membership.epoch == group.epoch || m_closure.isBoundByRecord(*entry, group.epoch));
        if (member != group.head() && mayBeIn) {
            orderToLeave(member, group.epoch);
        }
    }
}

/** Sends the order until the member reports that it is in no group: an answer only confirms receipt. */
void group_controller::orderToLeave(const backend_id &member, group_epoch epoch)
{
    departure_order &leaving = m_departures[member];
    if (leaving.epoch != epoch) {
        leaving = {epoch, m_now, {}};
    }
    leaving.order.answered = leaving.order.answered && m_now < leaving.order.sentAt + orderResendDelay;
    send(leaving.order, epoch, member, leave_group{epoch}, orderResendDelay);
}

/** Whether any server was told to leave its group just now and has not confirmed it yet. */
bool group_controller::isReleasing() const
{
    return std::any_of(m_departures.begin(), m_departures.end(), [&](const auto &each) {
        const auto &[backend, leaving] = each;
        const backend_registry::entry *entry = m_now < leaving.requestedAt + leaveAnswerTime ? findEntry(backend) : nullptr;
        const bool mayBeIn = entry != nullptr && (entry->record.membership.epoch == leaving.epoch || m_closure.isBoundByRecord(*entry, leaving.epoch));
        return mayBeIn && !m_closure.isReleased(*entry);
    });
}

} // namespace carawayloft
