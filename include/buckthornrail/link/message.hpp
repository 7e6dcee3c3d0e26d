/// @file
/// @brief The messages between processes, and their codec.
#pragma once

#include "buckthornrail/agreement/types.hpp"
#include "buckthornrail/configuration/configuration_store.hpp"
#include "buckthornrail/dispatch/claim_table.hpp"
#include "buckthornrail/dispatch/messages.hpp"
#include "buckthornrail/dispatch/order_sequencer.hpp"
#include "buckthornrail/document/change.hpp"
#include "buckthornrail/execution/stage_guard.hpp"
#include "buckthornrail/membership/membership_table.hpp"
#include "buckthornrail/registry/gateway_sessions.hpp"
#include "buckthornrail/registry/quarantine.hpp"

#include <tl/expected.hpp>
#include <variant>

namespace buckthornrail::link {

/// Version of the messages below; messages of other versions are rejected.
inline constexpr std::uint32_t protocolVersion = 3;

/// First message of a link to a sidecar. A link with a higher epoch replaces the peer's earlier links.
struct link_hello {
    instance_id instance;
    incarnation_number incarnation = 0;
    std::uint64_t epoch = 0;
};

/// The sidecar's response to link_hello.
struct link_welcome {
    instance_id instance;
    incarnation_number incarnation = 0;
};

/// Instance to controller: its record, and its versions of the state. Sent when the session begins and at each change.
struct session_announce {
    membership::instance_record record;
    configuration_version configuration = 0;
    std::uint64_t membershipRevision = 0;
    /// Whether it needs the configuration and the membership, as an entry does. A sidecar needs only the version.
    bool wantsState = false;
};

/// Instance to controller, once per heartbeat period.
struct session_heartbeat {
    std::uint64_t sequence = 0;
};

/// Controller to instance, after a quorum has confirmed that the controller is up to date. Everything that was
/// committed before the heartbeat arrived is sent on the same link before this message.
struct session_ack {
    std::uint64_t sequence = 0;
    configuration_version configuration = 0;
    bool drain = false; ///< an operator has requested that this instance drain
    bool known = true; ///< false: the instance must announce itself again
    dispatch::target_order order; ///< to be executed; fence 0: none
};

/// Sidecar to controller: the outcome of an order.
struct order_report {
    instance_id instance;
    dispatch::fencing_token fence = 0;
    result_code code = result_code::Ok;
    std::string reason;
};

/// Controller to instance: a page of an encoded configuration update.
struct configuration_page {
    configuration_version from = 0;
    configuration_version to = 0;
    std::uint32_t page = 0;
    std::uint32_t pages = 1;
    std::string bytes;
};

/// Entry to controller: a claim on an idempotency key.
struct claim_request {
    std::string commandId;
    dispatch::claim_command command;
};

/// Controller to entry: the response to a claim_request.
struct claim_reply {
    std::string commandId;
    bool available = false; ///< false: the claim isn't known to be committed
    dispatch::claim_result result;
};

/// Controller to leader: a command to append unless the log contains it.
struct forward_command {
    std::string bytes;
};

/// Controller to leader: instances with a heartbeat since the last report.
struct lease_report {
    std::vector<instance_id> instances;
};

/// Controller to controllers: requests membership for a controller with empty storage.
struct join_request {
    agreement::member_id member = 0;
    std::string address;
};

/// First message of a link between controllers.
struct controller_hello {
    agreement::member_id member = 0;
    std::string address;
    bool initialized = false;
    std::string controlAddress; ///< of the sender, for HTTP calls
    std::string failureDomain; ///< of the sender
    bool isLeaving = false; ///< the sender's process ends; optional on the wire
    /// From the leader: a leaving member whose removal has been committed; 0: none. Optional on the wire.
    agreement::member_id releasedMember = 0;
};

/// Addresses and failure domain of a controller. Without recent contact to it only `address` is set.
struct controller_endpoint {
    std::string address; ///< link address
    std::string controlAddress; ///< for HTTP calls
    std::string failureDomain;
    bool operator==(const controller_endpoint&) const = default;
};

/// Entry to sidecars of an earlier chain: all generations of the request below this one are to be rejected.
struct stage_fence {
    std::string request;
    std::uint32_t generation = 0;
};

/// Sidecar to entry: confirms a stage_fence.
struct stage_fenced {
    std::string request;
    std::uint32_t generation = 0;
};

/// Entry to sidecars: the request has ended.
struct stage_close {
    std::string request;
};

/// Last stage to entry: a token, or the end of the output.
struct stage_token {
    std::string request;
    std::uint32_t generation = 0;
    std::uint32_t token = 0;
    std::string text;
    bool last = false;
    std::string finishReason;
};

/// Any stage to entry: the generation has failed.
struct stage_failed {
    std::string request;
    std::uint32_t generation = 0;
    std::uint32_t stage = 0; ///< the stage that caused the failure
    result_code code = result_code::Ok;
    std::string reason;
};

/// Gateway to controller, once per heartbeat period: its versions of the state, and what it has observed.
struct gateway_heartbeat {
    instance_id instance;
    std::uint64_t sequence = 0;
    std::uint64_t documentVersion = 0; ///< of its text of the document; 0: none
    /// Applied version of the document, from a gateway that accepts it in slices. Empty: an earlier version of the
    /// program, which needs the text.
    std::optional<std::uint64_t> sliceVersion;
    std::uint64_t targetRevision = 0; ///< of its target table
    std::uint32_t openAttempts = 0; ///< in flight at targets
    std::vector<registry::target_incarnation> darkTargets; ///< found unreachable since the last heartbeat
    registry::target_loads loads; ///< of its attempts, by target of that revision
    std::uint64_t life = 0; ///< incarnation: random number that each process draws at its start
    registry::retry_counts repeats; ///< retries that it spent within the budget's window
    bool isRepeatsComplete = false; ///< `repeats` includes earlier processes; false: it requests their retries
    std::uint64_t quarantineRevision = 0; ///< of its quarantine stages
    std::vector<registry::quarantine_batch> quarantine; ///< changes without a receipt so far
    std::vector<registry::limit_report> limits; ///< rate limits from targets since the last heartbeat
    std::vector<registry::target_incarnation> leavingTargets; ///< announced to it, and not yet in the target table
    registry::demand_report demand; ///< of its requests for ranked services
};

/// A text, or a change of the target table as encoded by encodeDelta(), as a patch (see compression/text_patch.hpp).
struct text_update {
    std::uint64_t from = 0; ///< version that the receiver must have; 0: none, the patch contains the whole text
    std::uint64_t to = 0;
    std::string patch;
};

/// Controller to gateway: a slice of a change of the document. The next gateway_update applies complete changes.
struct document_slice {
    std::uint64_t from = 0; ///< version that the receiver must have; 0: none, the slices form the whole document
    std::uint64_t to = 0;
    std::uint32_t number = 0; ///< index of the slice, from 0
    std::uint32_t count = 1; ///< number of slices of this change
    std::uint64_t digest = 0; ///< of the document at `to`
    std::string patch; ///< part of the change, from encodeChange() (see compression/text_patch.hpp)
};

/// Controller to gateway. Sent after a quorum has confirmed the controller's state, or with committed changes.
struct gateway_update {
    std::uint64_t sequence = 0; ///< of the heartbeat that it responds to; 0: none
    bool isServed = false; ///< false: only `waitsForQuorum` is meaningful
    bool waitsForQuorum = false; ///< the controller knows a leader, but a quorum hasn't confirmed its state yet
    std::vector<text_update> document; ///< at most one; empty: no change
    std::vector<text_update> targets; ///< at most one, between revisions of the table; empty: no change
    std::vector<controller_endpoint> controllers; ///< all members; empty: unchanged in this session
    std::uint32_t gateways = 1; ///< with an open session, including the receiver
    std::uint32_t budgetSharers = 0; ///< gateways that may have spent from the retry budget; 0: unknown
    std::vector<registry::retry_counts> earlierRepeats; ///< at most one: of earlier processes; empty: unknown
    std::uint32_t othersOpenAttempts = 0; ///< in flight from all other gateways, as reported last
    registry::target_loads othersLoads; ///< the same by target, after `targets` is applied; empty: unknown
    std::vector<registry::quarantine_delta> quarantine; ///< at most one; empty: no change
    std::vector<registry::quarantine_receipt> quarantineReceipts;
    std::optional<std::uint32_t> ordinal; ///< its index among the gateways that share the budget; empty: unknown
    std::vector<registry::limit_report> limits; ///< not yet sent in this session
    registry::demand_report othersDemand; ///< of all other gateways; empty: none, or unknown
};

/// A target's heartbeat, forwarded to the leader.
struct target_heartbeat {
    std::string id;
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
};

/// Follower to leader: what it has received since its last report.
struct member_report {
    registry::member_report sessions; ///< of gateways
    std::vector<target_heartbeat> heard; ///< received from targets
    std::vector<registry::target_incarnation> darkTargets; ///< unreachable for a gateway
    std::vector<registry::limit_report> limits; ///< rate limits that targets reported to gateways
    std::vector<registry::target_incarnation> leavingTargets; ///< announced to a gateway
};

/// The position of a type in this list is its number on the wire.
using message = std::variant<link_hello, link_welcome, session_announce, session_heartbeat, session_ack,
    configuration_page, membership::membership_delta, claim_request, claim_reply, forward_command, lease_report,
    join_request, controller_hello, agreement::peer_message, dispatch::attempt_offer, dispatch::attempt_accepted,
    dispatch::attempt_refused, dispatch::attempt_started, dispatch::response_frame, dispatch::response_end,
    dispatch::attempt_revoke, dispatch::revoke_reply, dispatch::response_attach, dispatch::attach_reply,
    dispatch::load_report, execution::stage_step, stage_fence, stage_fenced, stage_close, stage_token, stage_failed,
    order_report, gateway_heartbeat, gateway_update, member_report, registry::fleet_report, document_slice>;

/// @brief Encodes a message as CBOR, with the protocol version and the type.
std::string encode(const message& value);

/// @return the message; MalformedMessage when it can't be read, UnsupportedProtocol for another protocol version
tl::expected<message, failure> decode(const std::string& bytes);

/// @brief Encodes a change of the target table as CBOR.
std::string encodeDelta(const registry::target_delta& delta);

/// @brief Encodes a change of the document, or a part of one, as CBOR.
std::string encodeChange(const document::change& change);

/// @return the change; MalformedMessage when it can't be read
tl::expected<document::change, failure> decodeChange(const std::string& bytes);

/// @return the change; MalformedMessage when it can't be read
tl::expected<registry::target_delta, failure> decodeDelta(const std::string& bytes);

} // namespace buckthornrail::link
