#pragma once

#include <carawayloft/messages/peer_message.h>

/** Inputs and outputs, shared by several pipes, for the connection to the control replicas. */
namespace carawayloft {

/** A message from the leader of control. */
struct control_message {
    peer_message message;
};

/** A message for whichever control replica is the leader. */
struct send_to_control {
    peer_message message;
};

/** A publication is missing: subscribe again for the changes after @p from. */
struct resubscribe {
    revision from;
};

/** Revision @p at is now in force in this process. */
struct revision_in_force {
    revision at;
};

/** A publication was ignored because it is not newer than the revision in force. */
struct revision_ignored {
    revision at;
    revision inForce;
};

} // namespace carawayloft
