#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/control_messages.h>

#include <deque>
#include <map>
#include <variant>

namespace carawayloft {

// Inputs.

/** A change was committed and applied. */
struct change_committed {
    publish_change change;
};

/** A process subscribes to everything after @p from. Sent only after a confirmed read, so that @p fleet is up to date. */
struct subscriber_joined {
    link_id link;
    revision from;
    const fleet_state &fleet;
};

struct subscriber_left {
    link_id link;
};

struct subscriber_confirmed {
    link_id link;
    revision at;
};

/** This replica is no longer the leader. */
struct leadership_lost {
};

// Outputs.

struct send_publication {
    link_id link;
    std::variant<publish_snapshot, publish_change, confirm_revision> message;
};

/** All subscribers have confirmed the change; @p after is the time since it was committed. */
struct publication_complete {
    revision at;
    duration after{0};
    std::size_t subscribers = 0;
};

using publisher_input = std::variant<change_committed, subscriber_joined, subscriber_left, subscriber_confirmed, leadership_lost>;
using publisher_output = std::variant<send_publication, publication_complete>;

/** Pushes committed changes to every subscriber and measures when they are in force everywhere. */
class publisher
{
public:
    using input = publisher_input;
    using output = publisher_output;

    std::vector<output> step(const input &in, time_point now);

    std::size_t subscribers() const
    {
        return m_subscribers.size();
    }

private:
    void handle(const change_committed &in, time_point now, std::vector<output> &out);
    void handle(const subscriber_joined &in, time_point now, std::vector<output> &out);
    void handle(const subscriber_left &in, time_point now, std::vector<output> &out);
    void handle(const subscriber_confirmed &in, time_point now, std::vector<output> &out);
    void handle(const leadership_lost &in, time_point now, std::vector<output> &out);
    void recordConfirmation(revision after, revision upTo, time_point now, std::vector<output> &out);

    /** A change that some subscribers have not confirmed yet. */
    struct pending_change {
        time_point since;
        std::size_t unconfirmed = 0;
    };

    std::map<link_id, revision> m_subscribers; /**< Latest confirmed revision of each. */
    std::size_t m_recentDocumentBytes = 0; /**< Total size of the configuration documents in m_recentChanges. */
    std::deque<publish_change> m_recentChanges; /**< Contiguous revisions, for subscribers that reconnect after a short time. */
    std::map<revision, pending_change> m_pending;
};

static_assert(filter<publisher>);

} // namespace carawayloft
