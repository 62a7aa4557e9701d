#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/** Time after which an engine that was not ready to open is asked again. */
static constexpr duration openResendDelay{150};

/** Time in which a head that was told to close announces that it has. */
static constexpr duration closeResendDelay{120};

/** Time that a group that drains has for its requests before they are cut off. */
static constexpr duration drainTime{2'500};

/** A head that nobody reaches may serve for this long after a member was lost: the engines' stall time and a margin. */
static constexpr duration headSilenceTime{8'000};

/** Epochs of one term. */
static constexpr std::uint64_t epochsPerTerm = 1'000'000;

std::vector<group_controller::output> group_controller::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    std::visit([this](const auto &each) { take(each); }, in);
    m_view.reset();
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

void group_controller::take(const group_control_began &in)
{
    m_keeping = true;
    m_term = in.term;
    m_epochs = 0;
    m_beganAt = m_now;
    m_groups.clear();
    m_memberOf.clear();
    m_standby.clear();
    m_staging.clear();
    m_orders.clear();
    m_retired.clear();
    m_unsure.clear();
    m_closedAt.clear();
    m_unknownSince.clear();
    m_loads.clear();
    m_rebalancedAt = m_now;
    for (const engine_group &each : in.inherited) {
        managed_group group;
        group.group = each;
        group.since = m_now;
        group.due = m_now + headSilenceTime;
        place(std::move(group));
    }
}

void group_controller::take(const group_control_ended &)
{
    m_keeping = false;
    m_groups.clear();
    m_memberOf.clear();
    m_standby.clear();
    m_staging.clear();
    m_orders.clear();
}

void group_controller::take(const order_finished &in)
{
    const auto found = m_orders.find(in.order);
    if (found == m_orders.end()) {
        return;
    }
    const order_place place = found->second;
    m_orders.erase(found);
    if (in.outcome == order_outcome::Unanswered) {
        return;
    }
    const auto settle = [&](sent_order &slot) {
        if (slot.order == in.order) {
            // An engine that is not ready yet is asked again.
            slot.answered = in.outcome != order_outcome::Conflict;
        }
    };
    if (const auto group = m_groups.find(place.epoch); group != m_groups.end()) {
        settle(group->second.opening);
        if (group->second.closeOrder.order == in.order) {
            group->second.closeOrder.answered = true;
            // The answer tells as well as an announcement, which may go to a leader that is no more.
            if (group->second.preempt && in.outcome == order_outcome::Done) {
                m_closedAt[place.epoch] = m_now;
            }
        }
        if (const auto join = group->second.joins.find(place.backend); join != group->second.joins.end()) {
            settle(join->second);
        }
    }
    if (const auto standby = m_standby.find(place.backend); standby != m_standby.end() && standby->second.epoch == place.epoch) {
        settle(standby->second.join);
    }
    if (const auto under = m_staging.find(place.backend); under != m_staging.end() && place.epoch.value() == 0) {
        settle(under->second.order);
    }
}

void group_controller::take(const reconcile_groups &in)
{
    if (!m_keeping) {
        return;
    }
    m_view.emplace(in.view);
    findServing();
    adoptUnknown();
    std::vector<group_epoch> epochs;
    epochs.reserve(m_groups.size());
    for (const auto &[epoch, each] : m_groups) {
        epochs.push_back(epoch);
    }
    for (const group_epoch &epoch : epochs) {
        lookAtGroup(m_groups.at(epoch));
    }
    lookAtStandby();
    lookAtStaging();
    for (const service_settings &service : m_view->services) {
        if (service.engine) {
            planService(service);
        }
    }
}

const backend_registry::entry *group_controller::entryOf(const backend_id &backend) const
{
    return m_view->registry.find(backend);
}

group_epoch group_controller::nextEpoch()
{
    return group_epoch(m_term.value() * epochsPerTerm + ++m_epochs);
}

/** Gives the order unless it was answered, or was given less than @p again ago. */
void group_controller::send(sent_order &slot, group_epoch epoch, const backend_id &backend, engine_order what, duration again)
{
    if (slot.answered || (slot.sent && m_now < slot.sentAt + again)) {
        return;
    }
    m_lastOrder = next(m_lastOrder);
    slot.order = m_lastOrder;
    slot.sentAt = m_now;
    slot.sent = true;
    m_orders[m_lastOrder] = {epoch, backend};
    m_out.emplace_back(engine_order_requested{m_lastOrder, backend, std::move(what)});
}

void group_controller::setPhase(managed_group &each, group_phase phase, const char *reason)
{
    each.group.phase = phase;
    each.since = m_now;
    m_out.emplace_back(group_changed{each.group, reason});
}

/** Keeps a group from now on. */
group_controller::managed_group &group_controller::place(managed_group group)
{
    const group_epoch epoch = group.group.epoch;
    for (const backend_id &member : group.group.members) {
        m_memberOf[member] = epoch;
    }
    return m_groups.insert_or_assign(epoch, std::move(group)).first->second;
}

void group_controller::retire(group_epoch epoch, const char *reason)
{
    for (const backend_id &member : m_groups.at(epoch).group.members) {
        if (const auto found = m_memberOf.find(member); found != m_memberOf.end() && found->second == epoch) {
            m_memberOf.erase(found);
        }
    }
    m_groups.erase(epoch);
    m_retired.insert(epoch);
    m_out.emplace_back(group_retired{epoch, reason});
}

void group_controller::close(managed_group &each, bool preempt, const char *reason)
{
    each.preempt = preempt;
    each.closeOrder = {};
    setPhase(each, group_phase::Closing, reason);
    lookAtClosing(each);
}

void group_controller::lookAtGroup(managed_group &each)
{
    switch (each.group.phase) {
    case group_phase::Forming:
        lookAtForming(each);
        break;
    case group_phase::Opening:
        lookAtOpening(each);
        break;
    case group_phase::Open:
        if (each.incomplete) {
            lookAtIncomplete(each);
        }
        lookAtOpen(each);
        break;
    case group_phase::Closing:
        lookAtClosing(each);
        break;
    }
}

/** Why the group is no longer whole, or nullptr. */
const char *group_controller::memberMissing(const managed_group &each) const
{
    for (std::size_t i = 0; i < each.group.members.size(); ++i) {
        const backend_registry::entry *entry = entryOf(each.group.members[i]);
        if (entry == nullptr || entry->record.state == backend_state::Lost || entry->record.state == backend_state::Left) {
            return "a member is lost";
        }
        if (i < each.startedAt.size() && entry->record.startedAt != each.startedAt[i]) {
            return "a member has started again";
        }
    }
    return nullptr;
}

bool group_controller::memberLeaves(const managed_group &each) const
{
    return std::any_of(each.group.members.begin(), each.group.members.end(), [this](const backend_id &member) {
        const backend_registry::entry *entry = entryOf(member);
        return entry != nullptr && entry->record.state == backend_state::Draining;
    });
}

void group_controller::lookAtForming(managed_group &each)
{
    const group_epoch epoch = each.group.epoch;
    if (const char *missing = memberMissing(each)) {
        retire(epoch, missing);
        return;
    }
    if (memberLeaves(each) || m_now >= each.due) {
        retire(epoch, "it did not become ready");
        return;
    }
    bool ready = true;
    for (const backend_id &member : each.group.members) {
        const membership_report &report = entryOf(member)->record.membership;
        if (report.epoch == epoch && report.state != membership_state::Joining) {
            continue;
        }
        ready = false;
        send(each.joins[member], epoch, member, join_group{epoch, each.group.model, each.group.members}, orderResendDelay);
    }
    if (ready) {
        setPhase(each, group_phase::Opening, "all members are ready");
        lookAtOpening(each);
    }
}

void group_controller::lookAtOpening(managed_group &each)
{
    if (const char *missing = memberMissing(each)) {
        close(each, true, missing);
        return;
    }
    const membership_report &head = entryOf(each.group.head())->record.membership;
    if (head.epoch == each.group.epoch && head.state == membership_state::Open) {
        setPhase(each, group_phase::Open, "the head serves");
        return;
    }
    if (m_now >= each.since + headSilenceTime) {
        close(each, true, "the head did not open");
        return;
    }
    // The order is repeated until the head says that it serves: an answer does not say that it was carried out.
    each.opening.answered = each.opening.answered && m_now < each.opening.sentAt + orderResendDelay;
    send(each.opening, each.group.epoch, each.group.head(), open_group{each.group.epoch}, openResendDelay);
}

void group_controller::lookAtOpen(managed_group &each)
{
    if (each.group.phase != group_phase::Open) {
        return;
    }
    if (const char *missing = memberMissing(each)) {
        close(each, true, missing);
        return;
    }
    for (const backend_id &member : each.group.members) {
        const membership_report &report = entryOf(member)->record.membership;
        if (report.epoch != each.group.epoch) {
            close(each, true, "a member is in no group or another one");
            return;
        }
        if (report.state == membership_state::Broken) {
            close(each, true, "the head reports the group as broken");
            return;
        }
    }
    const membership_state head = entryOf(each.group.head())->record.membership.state;
    if (head == membership_state::Ready || head == membership_state::Closing) {
        close(each, true, "the head does not serve");
    } else if (memberLeaves(each)) {
        close(each, false, "a member leaves");
    }
}

/** Whether the head surely serves no more under this epoch. */
bool group_controller::headHasClosed(const managed_group &each) const
{
    const backend_registry::entry *head = entryOf(each.group.head());
    if (head == nullptr) {
        return m_now >= each.since + headSilenceTime;
    }
    const bool sameStart = each.startedAt.empty() || head->record.startedAt == each.startedAt.front();
    if (!sameStart || head->confirmedDown) {
        return true;
    }
    if (head->record.state == backend_state::Lost || head->record.state == backend_state::Left) {
        return m_now >= each.since + headSilenceTime;
    }
    const membership_report &report = head->record.membership;
    if (m_closedAt.contains(each.group.epoch)) {
        return true;
    }
    const bool serves = report.epoch == each.group.epoch && (report.state == membership_state::Open || report.state == membership_state::Closing);
    return each.closeOrder.answered && !serves;
}

void group_controller::lookAtClosing(managed_group &each)
{
    if (headHasClosed(each)) {
        const backend_registry::entry *head = entryOf(each.group.head());
        if (head == nullptr || head->record.state == backend_state::Lost) {
            m_unsure[each.group.epoch] = each.group.head();
        }
        retire(each.group.epoch, "the head serves no more");
        return;
    }
    if (!each.preempt && m_now >= each.since + drainTime) {
        each.preempt = true;
        each.closeOrder = {};
    }
    const backend_registry::entry *head = entryOf(each.group.head());
    if (head != nullptr && head->record.state != backend_state::Lost) {
        // As long as the head says that it serves, the order may have been lost behind its answer.
        each.closeOrder.answered = each.closeOrder.answered && m_now < each.closeOrder.sentAt + closeResendDelay;
        send(each.closeOrder, each.group.epoch, each.group.head(), close_group{each.group.epoch, each.preempt}, orderResendDelay);
    }
}

} // namespace carawayloft
