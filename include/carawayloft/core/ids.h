#pragma once

#include <carawayloft/core/strong_type.h>

#include <cstdint>
#include <string>

namespace carawayloft {

using host_id = strong_type<struct host_id_tag, std::string>;
using availability_zone_id = strong_type<struct availability_zone_id_tag, std::string>;
using fabric_domain_id = strong_type<struct fabric_domain_id_tag, std::string>;
using service_id = strong_type<struct service_id_tag, std::string>;
using client_account_id = strong_type<struct client_account_id_tag, std::string>;
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;

/** Names an operator's command; a resend carries the same one. */
using command_id = strong_type<struct command_id_tag, std::string>;

using model_id = strong_type<struct model_id_tag, std::string>;

/** One start of a backend server; a restarted one draws another or is told apart by its start time. */
using backend_id = strong_type<struct backend_id_tag, std::string>;

/** Secret by which a caller shows which client account it belongs to. */
using access_key = strong_type<struct access_key_tag, std::string>;

/** Number that operators give a service configuration; the highest accepted one is in force. */
using configuration_version = strong_type<struct configuration_version_tag, std::uint64_t>;

/** Number of an event within one streamed answer. */
using stream_event_id = strong_type<struct stream_event_id_tag, std::uint64_t>;

/** An HTTP call of a gateway to a backend server. */
using backend_call_id = strong_type<struct backend_call_id_tag, std::uint64_t>;

/** A test whether a backend server can be reached. */
using probe_id = strong_type<struct probe_id_tag, std::uint64_t>;

/** An order to a model engine. */
using order_id = strong_type<struct order_id_tag, std::uint64_t>;

/** A call of an operator or a backend server that waits for its answer. */
using call_token = strong_type<struct call_token_tag, std::uint64_t>;

/** "IP:port" of a process of the system. */
using endpoint = strong_type<struct endpoint_tag, std::string>;

using group_id = strong_type<struct group_id_tag, std::uint64_t>;
using plan_id = strong_type<struct plan_id_tag, std::uint64_t>;
/** A connection to this process, as numbered by the task that owns it. */
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

using request_id = strong_type<struct request_id_tag, std::uint64_t>;

/** One run of a process; a restarted process draws another. */
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/** Generation of a serving group's membership; also the fencing number of its orders. */
using group_epoch = strong_type<struct group_epoch_tag, std::uint64_t>;

/** Number of a try to serve one request; starts at 1. */
using attempt_number = strong_type<struct attempt_number_tag, std::uint32_t>;

/** Position in one answer, in tokens. */
using stream_offset = strong_type<struct stream_offset_tag, std::uint64_t>;

/** Which agreed log a record belongs to; one log exists today. */
using log_id = strong_type<struct log_id_tag, std::uint32_t>;
using log_index = strong_type<struct log_index_tag, std::uint64_t>;
using log_term = strong_type<struct log_term_tag, std::uint64_t>;

/** Log index of the last configuration change applied. */
using revision = strong_type<struct revision_tag, std::uint64_t>;

/** A control replica with one disk: its number in the upper half, the disk's incarnation in the lower. */
using replica_id = strong_type<struct replica_id_tag, std::uint64_t>;

/** Number of a control replica in the settings; the same before and after a lost disk. */
using replica_number = strong_type<struct replica_number_tag, std::uint32_t>;

/** Incarnation of a replica's disk when the cluster is first formed. */
inline constexpr std::uint32_t initialDiskIncarnation = 1;

constexpr replica_id makeReplicaId(replica_number number, std::uint32_t diskIncarnation)
{
    return replica_id((std::uint64_t{number.value()} << 32U) | diskIncarnation);
}

constexpr replica_number replicaNumberOf(replica_id id)
{
    return replica_number(static_cast<std::uint32_t>(id.value() >> 32U));
}

} // namespace carawayloft
