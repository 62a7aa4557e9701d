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

/** Identifies an operator's command. A resend carries the same id, so that the command is applied only once. */
using command_id = strong_type<struct command_id_tag, std::string>;

using model_id = strong_type<struct model_id_tag, std::string>;

/** Identifies one run of a backend server. After a restart, either the id or the start time that goes with it is new. */
using backend_id = strong_type<struct backend_id_tag, std::string>;

/** Secret API key that authenticates a caller as a client account. */
using access_key = strong_type<struct access_key_tag, std::string>;

/** Version that operators give a service configuration; the highest accepted version is in force. */
using configuration_version = strong_type<struct configuration_version_tag, std::uint64_t>;

/** Sequence number of an event within one streamed answer. */
using stream_event_id = strong_type<struct stream_event_id_tag, std::uint64_t>;

/** Identifies an HTTP call of a gateway to a backend server. */
using backend_call_id = strong_type<struct backend_call_id_tag, std::uint64_t>;

/** Identifies a reachability probe of a backend server. */
using probe_id = strong_type<struct probe_id_tag, std::uint64_t>;

/** Identifies an order to a model engine. */
using order_id = strong_type<struct order_id_tag, std::uint64_t>;

/** Identifies a pending call of an operator or a backend server. */
using call_token = strong_type<struct call_token_tag, std::uint64_t>;

/** Network address of a process of the system, as "IP:port". */
using endpoint = strong_type<struct endpoint_tag, std::string>;

using group_id = strong_type<struct group_id_tag, std::uint64_t>;
using plan_id = strong_type<struct plan_id_tag, std::uint64_t>;

/** Identifies a connection to this process; assigned by the task that owns the connection. */
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

/**
 * A property that requests to one service may share and that may make its servers crash: a part of the prompt
 * ("part:ID"), or the whole request ("request:DIGEST").
 */
using request_trait = strong_type<struct request_trait_tag, std::string>;

using request_id = strong_type<struct request_id_tag, std::uint64_t>;

/** Priority of a request in admission and dispatch; 0 is the highest rank. */
using request_rank = strong_type<struct request_rank_tag, std::uint32_t>;

/** Identifies one run of a process; a restarted process has a new one. */
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/** Generation of a serving group's membership; also the fencing token of the group's orders. */
using group_epoch = strong_type<struct group_epoch_tag, std::uint64_t>;

/** Number of an attempt to serve one request; starts at 1. */
using attempt_number = strong_type<struct attempt_number_tag, std::uint32_t>;

/** Position in one answer: in tokens of a stream, in parts of any other answer. */
using stream_offset = strong_type<struct stream_offset_tag, std::uint64_t>;

/** Identifies a replicated log; there is only one so far. */
using log_id = strong_type<struct log_id_tag, std::uint32_t>;
using log_index = strong_type<struct log_index_tag, std::uint64_t>;
using log_term = strong_type<struct log_term_tag, std::uint64_t>;

/**
 * Difference between the term of an election and the term that its candidate had before. The numbers between them serve
 * the leader as fencing tokens, so that each later leader has greater ones.
 */
inline constexpr std::uint64_t termSpacing = 10'000;

/** Number of an order to an engine, which refuses orders with a lower number than one that it has carried out since its start. */
using fencing_token = strong_type<struct fencing_token_tag, std::uint64_t>;

/** Version of the fleet's configuration: the log index of the last change applied to it. */
using revision = strong_type<struct revision_tag, std::uint64_t>;

/** Identifies a control replica with one disk: replica number in the upper 32 bits, incarnation of the disk in the lower 32 bits. */
using replica_id = strong_type<struct replica_id_tag, std::uint64_t>;

/** Number of a control replica in the settings; it stays the same when the replica loses its disk. */
using replica_number = strong_type<struct replica_number_tag, std::uint32_t>;

/** Disk incarnation of the replicas that first form the log. */
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
