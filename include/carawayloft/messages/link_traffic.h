#pragma once

#include <carawayloft/messages/peer_message.h>

/** Inputs and outputs of pipes that serve several connections (links). */
namespace carawayloft {

struct link_connected {
    link_id link;
    process_role role = process_role::Entry;
};

struct link_lost {
    link_id link;
};

struct link_message {
    link_id link;
    peer_message message;
};

struct send_to_link {
    link_id link;
    peer_message message;
};

} // namespace carawayloft
