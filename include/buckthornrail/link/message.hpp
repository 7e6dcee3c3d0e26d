/// @file
/// @brief Every message between the system's processes, and the codec.
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

/// Version of the messages below; a process refuses others.
inline constexpr std::uint32_t protocolVersion = 3;

/// First message of a link to a sidecar. A higher epoch ends the earlier links of the same peer.
struct link_hello {
    instance_id instance;
    incarnation_number incarnation = 0;
    std::uint64_t epoch = 0;
};

/// The sidecar's answer.
struct link_welcome {
    instance_id instance;
    incarnation_number incarnation = 0;
};

/// Daemon to controller: who I am and what I hold. Sent when the session begins and at each change.
struct session_announce {
    membership::instance_record record;
    configuration_version configuration = 0;
    std::uint64_t membershipRevision = 0;
    bool wantsState = false; ///< configuration and membership: entries do; a sidecar needs the version alone
};

/// Daemon to controller, each heartbeat period.
struct session_heartbeat {
    std::uint64_t sequence = 0;
};

/// Controller to daemon, after a quorum has confirmed that this controller is current. Everything that was committed
/// before the heartbeat was received has been sent on the same link before this message.
struct session_ack {
    std::uint64_t sequence = 0;
    configuration_version configuration = 0;
    bool drain = false; ///< an operator wants this instance to drain
    bool known = true; ///< false: announce yourself again
    dispatch::target_order order; ///< to carry out; fence 0: none
};

/// Sidecar to controller: an order has ended.
struct order_report {
    instance_id instance;
    dispatch::fencing_token fence = 0;
    result_code code = result_code::Ok;
    std::string reason;
};

/// One page of a configuration update.
struct configuration_page {
    configuration_version from = 0;
    configuration_version to = 0;
    std::uint32_t page = 0;
    std::uint32_t pages = 1;
    std::string bytes;
};

/// Entry to controller.
struct claim_request {
    std::string commandId;
    dispatch::claim_command command;
};

/// Controller to entry.
struct claim_reply {
    std::string commandId;
    bool available = false; ///< false: not known to be committed
    dispatch::claim_result result;
};

/// Controller to leader: append this command if it isn't in the log yet.
struct forward_command {
    std::string bytes;
};

/// Controller to leader: these instances' heartbeats were heard since the last report.
struct lease_report {
    std::vector<instance_id> instances;
};

/// Controller to controllers: my disk is new; take me in.
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
    std::string failureDomain; ///< the same
};

/// Where a controller is. What it says of itself is empty where it wasn't heard of lately.
struct controller_place {
    std::string address; ///< link address
    std::string controlAddress; ///< for HTTP calls
    std::string failureDomain;
    bool operator==(const controller_place&) const = default;
};

/// Entry to sidecars of an old chain: refuse all generations below this one.
struct stage_fence {
    std::string request;
    std::uint32_t generation = 0;
};

struct stage_fenced {
    std::string request;
    std::uint32_t generation = 0;
};

/// Entry to sidecars: the request is over.
struct stage_close {
    std::string request;
};

/// Last stage to entry: a token, or the end.
struct stage_token {
    std::string request;
    std::uint32_t generation = 0;
    std::uint32_t token = 0;
    std::string text;
    bool last = false;
    std::string finishReason;
};

/// Any stage to entry: this generation can't go on.
struct stage_failed {
    std::string request;
    std::uint32_t generation = 0;
    std::uint32_t stage = 0; ///< which one is at fault
    result_code code = result_code::Ok;
    std::string reason;
};

/// Gateway to controller, each heartbeat period: what it holds and what it has seen.
struct gateway_beat {
    instance_id instance;
    std::uint64_t sequence = 0;
    std::uint64_t documentVersion = 0; ///< of the text that it holds; 0: none
    /// Version in force of one that takes the document in slices. Nothing: of a program that needs the text.
    std::optional<std::uint64_t> sliceVersion;
    std::uint64_t targetRevision = 0;
    std::uint32_t openAttempts = 0; ///< under way at targets
    std::vector<registry::target_incarnation> darkTargets; ///< that were dead or cut off for it since the last beat
    registry::target_loads loads; ///< of its attempts, at the targets of that revision
    std::uint64_t life = 0; ///< drawn by each process at its start
    registry::retry_counts repeats; ///< that it spent within the window
    bool isRepeatsComplete = false; ///< also those of processes before this one; false: it wants to be told of them
    std::uint64_t quarantineRevision = 0; ///< of the standings that it holds
    std::vector<registry::quarantine_batch> quarantine; ///< without a receipt so far
    std::vector<registry::limit_report> limits; ///< that it heard targets name since the last beat
    std::vector<registry::target_incarnation> leavingTargets; ///< that told it so, and the table doesn't show it
};

/// A text, or a change of the table of targets as encodeDelta() gives it, as a patch (see compression/text_patch.hpp).
struct text_update {
    std::uint64_t from = 0; ///< version that the receiver must hold; 0: none, the patch stands for the whole text
    std::uint64_t to = 0;
    std::string patch;
};

/// Controller to gateway: a slice of a change of the document. The update that follows puts whole changes in force.
struct document_slice {
    std::uint64_t from = 0; ///< version that the receiver must hold; 0: none, the slices make the whole document
    std::uint64_t to = 0;
    std::uint32_t number = 0; ///< from 0 on
    std::uint32_t count = 1; ///< of slices of this change
    std::uint64_t digest = 0; ///< of the document at `to`
    std::string patch; ///< of the part, as encodeChange() gives it (see compression/text_patch.hpp)
};

/// Controller to gateway. Sent after a quorum has confirmed what the controller holds, or with what was committed.
struct gateway_update {
    std::uint64_t sequence = 0; ///< of the beat that this answers; 0: none
    bool isServed = false; ///< false: nothing else holds but `waitsForQuorum`
    bool waitsForQuorum = false; ///< the controller knows a leader, and what it holds is still to be confirmed
    std::vector<text_update> document; ///< at most one: nothing to change
    std::vector<text_update> targets; ///< the same; between revisions of the table
    std::vector<controller_place> controllers; ///< all members; empty: as told before in this session
    std::uint32_t gateways = 1; ///< that have a session now
    std::uint32_t budgetSharers = 0; ///< gateways that may have spent of the budget of repeats; 0: not known
    std::vector<registry::retry_counts> earlierRepeats; ///< at most one: of processes before this one; none: not known
    std::uint32_t othersOpenAttempts = 0; ///< under way from all other gateways, as they told last
    registry::target_loads othersLoads; ///< the same by target, once the changes above are applied; empty: not told
    std::vector<registry::quarantine_delta> quarantine; ///< at most one: nothing to change
    std::vector<registry::quarantine_receipt> quarantineReceipts;
    std::optional<std::uint32_t> ordinal; ///< which one of the sharers of the budget it is; nothing: not known
    std::vector<registry::limit_report> limits; ///< that it wasn't told in this session
};

/// A target's heartbeat.
struct target_heard {
    std::string id;
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
};

/// Controller to the one that leads: what came to it since its last report.
struct member_report {
    registry::member_report sessions; ///< gateways'
    std::vector<target_heard> heard; ///< heartbeats of targets
    std::vector<registry::target_incarnation> darkTargets; ///< that were dead or cut off for a gateway
    std::vector<registry::limit_report> limits; ///< that gateways heard targets name
    std::vector<registry::target_incarnation> leavingTargets; ///< that told a gateway so
};

using message = std::variant<link_hello, link_welcome, session_announce, session_heartbeat, session_ack,
    configuration_page, membership::membership_delta, claim_request, claim_reply, forward_command, lease_report,
    join_request, controller_hello, agreement::peer_message, dispatch::attempt_offer, dispatch::attempt_accepted,
    dispatch::attempt_refused, dispatch::attempt_started, dispatch::response_frame, dispatch::response_end,
    dispatch::attempt_revoke, dispatch::revoke_reply, dispatch::response_attach, dispatch::attach_reply,
    dispatch::load_report, execution::stage_step, stage_fence, stage_fenced, stage_close, stage_token, stage_failed,
    order_report, gateway_beat, gateway_update, member_report, registry::fleet_report, document_slice>;

/// @brief A message as CBOR, with the protocol version and its type.
std::string encode(const message& value);

/// @return the message; MalformedMessage or UnsupportedProtocol when it isn't one.
tl::expected<message, failure> decode(const std::string& bytes);

/// @brief A change of the table of targets as CBOR.
std::string encodeDelta(const registry::target_delta& delta);

/// @brief A change of the document, or a part of one, as CBOR.
std::string encodeChange(const document::change& change);

/// @return the change; MalformedMessage when it isn't one.
tl::expected<document::change, failure> decodeChange(const std::string& bytes);

/// @return the change; MalformedMessage when it isn't one.
tl::expected<registry::target_delta, failure> decodeDelta(const std::string& bytes);

} // namespace buckthornrail::link
