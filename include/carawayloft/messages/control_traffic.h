#pragma once

#include <carawayloft/messages/peer_message.h>

/** Inputs and outputs that several pipes share. */
namespace carawayloft {

/** From the leader of control. */
struct control_message {
    peer_message message;
};

/** For the leader of control, wherever it is. */
struct send_to_control {
    peer_message message;
};

/** The configuration published so far has a gap: subscribe again. */
struct resubscribe {
    revision from;
};

/** A revision has come into force here. */
struct revision_in_force {
    revision at;
};

/** A publication not newer than what is in force was passed over. */
struct revision_ignored {
    revision at;
    revision inForce;
};

} // namespace carawayloft
