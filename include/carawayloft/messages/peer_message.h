#pragma once

#include <carawayloft/fleet/fleet_messages.h>
#include <carawayloft/messages/control_messages.h>
#include <carawayloft/messages/hello.h>
#include <carawayloft/messages/lease_messages.h>
#include <carawayloft/messages/request_messages.h>

#include <variant>

namespace carawayloft {

/** Any message between two processes of the system. Its index is its type on the wire, so new types go to the end. */
using peer_message = std::variant<hello,
                                  dispatch_request,
                                  cancel_request,
                                  grant_credit,
                                  request_refused,
                                  answer_head,
                                  answer_chunk,
                                  answer_end,
                                  load_report,
                                  member_lease_request,
                                  member_lease_grant,
                                  lease_renewal,
                                  lease_grant,
                                  subscribe,
                                  not_leader,
                                  publish_snapshot,
                                  publish_change,
                                  confirm_revision,
                                  announce_host,
                                  open_claim_call,
                                  close_claim_call,
                                  claim_call_reply,
                                  log_traffic,
                                  formation_probe,
                                  formation_reply,
                                  join_request,
                                  publish_fleet,
                                  gateway_report,
                                  gateway_grant>;

} // namespace carawayloft
