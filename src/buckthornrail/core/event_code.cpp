/// @file
/// @brief Catalogue of log events.
#include "buckthornrail/core/event_code.hpp"

#include <array>

namespace buckthornrail {
namespace {

constexpr std::array eventRows {
    event_info { event_code::ProcessStarted, "process_started", "A role has started; fields: role, addresses." },
    event_info { event_code::ProcessStopping, "process_stopping",
        "SIGTERM was received: no new work is accepted, work in flight continues." },
    event_info { event_code::ProcessStopped, "process_stopped", "Work in flight has ended; the process exits." },
    event_info { event_code::SettingsRejected, "settings_rejected",
        "The settings are invalid, or the role could not start with them." },
    event_info { event_code::SettingsReloaded, "settings_reloaded", "The settings file was read again." },
    event_info { event_code::LogLinesDropped, "log_lines_dropped",
        "Log lines beyond the limits of the log's volume were dropped; field: count." },
    event_info { event_code::ProcessStoodStill, "process_stood_still",
        "The machine was suspended, or the process was stopped; fields: ms, version (of the document held)." },
    event_info { event_code::LoopHeld, "loop_held", "A task blocked the event loop; fields: work, ms." },
    event_info { event_code::RouteChosen, "route_chosen",
        "A target was selected for an attempt; fields: request, attempt, candidates, chosen, reason, ran_on (targets "
        "that may have executed the request, each with how its attempt ended, what is known of it now, and whether it "
        "counts), counted (of the route's limit of targets)." },
    event_info { event_code::RouteRefused, "route_refused",
        "No target could be selected; fields: request, reason, room_in_ms (time until a target accepts a request "
        "again)." },
    event_info {
        event_code::AttemptRefused, "attempt_refused", "A sidecar refused an attempt; the target did not run it." },
    event_info { event_code::AttemptLost, "attempt_lost",
        "An attempt ended without a complete response; fields: request, attempt, reason, ran, outcome, ran_on (as of "
        "route_chosen), events, first_event, open_ms, fingerprint, parts." },
    event_info { event_code::RequestFinished, "request_finished", "A request has ended; fields: request, code, ran." },
    event_info { event_code::ChainBuilt, "chain_built",
        "Targets were selected for the stages of a split request; fields: generation, stages." },
    event_info { event_code::GenerationFenced, "generation_fenced", "An older generation of a chain was fenced." },
    event_info { event_code::ClaimHeld, "claim_held",
        "The Idempotency-Key is claimed by an earlier attempt; its instance is asked for the response." },
    event_info { event_code::TargetAvoided, "target_avoided",
        "A gateway excludes a target after a failure; fields: request, target, reason." },
    event_info { event_code::CallRefused, "call_refused",
        "A request was rejected before it was routed; fields: request, code, reason, version." },
    event_info { event_code::ReportReceived, "report_received",
        "A target was asked for a report, such as which target stalls a stream; fields: request, target, outcome, "
        "faulty." },
    event_info { event_code::TargetUnreachable, "target_unreachable",
        "A target on the path of a silent stream accepts no connections; fields: target, address, how." },
    event_info { event_code::CrashBlamed, "crash_blamed",
        "A target ended shortly after requests had started there; fields: target, address, how, begun, fingerprints, "
        "parts (of their prompts)." },
    event_info { event_code::TrialDecided, "trial_decided",
        "The quarantine decided whether a request may run; fields: request, fingerprint, blamed (the request, or parts "
        "of "
        "its prompt with their fingerprints), workspace, path, target, stage, outcome." },
    event_info { event_code::RequestCleared, "request_cleared",
        "A quarantined request got a complete response, or a part of its prompt a response that lasted; fields: "
        "request, "
        "fingerprint, stage, part." },
    event_info { event_code::AttemptKept, "attempt_kept",
        "A stalled attempt is not moved; fields: request, attempt, because (cause of the stall), reason (why it can't "
        "be moved)." },
    event_info { event_code::TargetPushback, "target_pushback",
        "A target changed the rate or backoff that it asks for, or is leaving; fields: request, target, per_second, "
        "before, before_age_ms, rest_ms, leaving, source (response, controllers), reason (a field that can't be "
        "parsed)." },
    event_info { event_code::RequestQueued, "request_queued",
        "A request of a ranked service waits for free capacity; fields: request, service, priority, returning (refused "
        "before), outcome (queued), reserved_percent (of the capacity), tokens_ahead, tokens_per_s (expected to be "
        "released), others_age_ms (age of the other gateways' demand), waited_ms (since arrival)." },
    event_info { event_code::QueueLeft, "queue_left",
        "A request has left the queue; fields: as of request_queued, with outcome started, expired, displaced, "
        "shutting_down, caller_left, deadline_passed or routed_again." },
    event_info { event_code::ConnectionsClosedUnread, "connections_closed_unread",
        "A gateway closes new connections unread, as its file descriptors are needed for open ones; at most one line a "
        "second." },
    event_info { event_code::MessageCutOff, "message_cut_off",
        "A message from another process exceeded a bound and its connection was closed; fields: request, from (target, "
        "caller or control), target, address, bound (see [limits] in the settings), held (bytes), open (bytes of all "
        "open messages)." },
    event_info { event_code::WorkStarted, "work_started", "A sidecar passed an attempt to its target." },
    event_info { event_code::WorkFinished, "work_finished", "An attempt ended at the target." },
    event_info { event_code::WorkCancelled, "work_cancelled", "An attempt was cancelled at the target." },
    event_info { event_code::OfferRefused, "offer_refused", "A sidecar refused an offer; fields: attempt, code." },
    event_info { event_code::TargetStateChanged, "target_state_changed", "The target's readiness changed." },
    event_info { event_code::TargetDraining, "target_draining",
        "The sidecar accepts no new work, or does so again; fields: drain, by." },
    event_info { event_code::OrderBegun, "order_begun", "The target is ordered to load a version; fields: fence." },
    event_info {
        event_code::OrderEnded, "order_ended", "An order to the target has ended; fields: fence, code, reason." },
    event_info { event_code::LeaderElected, "leader_elected", "This controller is the leader; field: term." },
    event_info { event_code::LeaderLost, "leader_lost", "This controller is no longer the leader." },
    event_info { event_code::MemberChanged, "member_changed",
        "The set of controllers changed; fields: members (addresses; learners don't vote), index." },
    event_info { event_code::SnapshotSaved, "snapshot_saved", "A snapshot was saved and the log compacted." },
    event_info { event_code::StorageFault, "storage_fault", "The data folder failed; the controller stops voting." },
    event_info { event_code::StorageRegained, "storage_regained", "The data folder is writable again." },
    event_info { event_code::CommandForwardedAgain, "command_forwarded_again",
        "An uncommitted command is sent to the leader again; fields: leader, bytes, after_ms." },
    event_info { event_code::LogOpened, "log_opened",
        "A controller loaded its log from disk; fields: snapshot (last index that it covers), last (index), term." },
    event_info { event_code::SnapshotInstalled, "snapshot_installed",
        "A snapshot from the leader replaced this controller's state; fields: leader, index, bytes, before (index)." },
    event_info { event_code::QuorumMissing, "quorum_missing",
        "A voter has known no leader for 3 s, and again every 3 s; fields: voters, needed (for a quorum), heard, "
        "silent_ms (silent voters and for how long), term, last (index)." },
    event_info { event_code::MemberChangeProposed, "member_change_proposed",
        "The leader proposes a change of the controllers; fields: change, member, id, because, voters, reachable (of "
        "them), required (voters that a removal leaves), silent_ms." },
    event_info { event_code::MemberLeft, "member_left",
        "A controller that ends has handed over what it could; fields: released (whether its vote was removed), "
        "waited_ms, voters, required." },
    event_info { event_code::ToleranceLow, "tolerance_low",
        "For 3 s, fewer losses could be borne than should be; fields: bearable, tolerated, voters, learners, silent_ms "
        "(silent members and for how long)." },
    event_info { event_code::ToleranceRegained, "tolerance_regained",
        "As many losses as should be can be borne again; fields: as of tolerance_low." },
    event_info { event_code::ConfigurationAccepted, "configuration_accepted", "A change was committed." },
    event_info {
        event_code::ConfigurationRejected, "configuration_rejected", "A change was rejected, with the reason." },
    event_info { event_code::ConfigurationApplied, "configuration_applied", "A version is active in this process." },
    event_info { event_code::LeaseExpired, "lease_expired", "No controller renewed the configuration lease in time." },
    event_info { event_code::InstanceJoined, "instance_joined", "An instance joined or returned." },
    event_info { event_code::InstanceLost, "instance_lost", "The heartbeats of an instance or a target have stopped." },
    event_info { event_code::InstanceDraining, "instance_draining", "An instance is draining." },
    event_info { event_code::TargetChanged, "target_changed",
        "A record of the replicated target table changed; fields: target, service, state, layers, revision." },
    event_info { event_code::OperatorCall, "operator_call",
        "A request to the control interface was answered; fields: what, status." },
    event_info { event_code::LayersOrdered, "layers_ordered",
        "A target is ordered to load layers; fields: target, layers, fence, revision." },
    event_info { event_code::LayersSettled, "layers_settled",
        "An order to load layers has ended; fields: target, layers, outcome." },
    event_info { event_code::SessionOpened, "session_opened", "A gateway's session with the controllers started." },
    event_info { event_code::SessionLost, "session_lost",
        "A gateway's session with the controllers ended; fields: reason, silent_ms, received, version." },
    event_info { event_code::DocumentSent, "document_sent",
        "A controller sends a gateway the changes that it lacks; fields: gateway, from, to, bytes, waiting." },
    event_info { event_code::GatewaysCounted, "gateways_counted",
        "The number of gateways that share the retry budget changed; fields: gateways, before." },
    event_info { event_code::RecordRefused, "record_refused",
        "A target's announcement was rejected; fields: call, reason, unlogged." },
    event_info { event_code::SessionMoved, "session_moved",
        "A gateway moves its session to a nearer controller; fields: controller, to, version." },
    event_info { event_code::QuarantineChanged, "quarantine_changed",
        "The quarantine entry of a request changed; fields: fingerprint, stage, crashes, proofs, ended, revision." },
    event_info { event_code::QuarantineTermEnded, "quarantine_term_ended",
        "The leader ends a trial, a quarantine or a suspicion after its timeout; fields: fingerprint, stage, trial, "
        "term_ms." },
    event_info { event_code::LinkOpened, "link_opened", "A link between processes opened." },
    event_info { event_code::LinkClosed, "link_closed",
        "A link between processes closed; fields: peer, cause, silent_ms, waiting." },
    event_info { event_code::MessageRejected, "message_rejected", "A message could not be decoded." },
};

} // namespace

std::span<const event_info> eventTable() { return eventRows; }

const event_info& describe(event_code code)
{
    for (const auto& row : eventRows) {
        if (row.code == code)
            return row;
    }
    return eventRows.front();
}

} // namespace buckthornrail
