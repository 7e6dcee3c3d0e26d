/// @file
/// @brief Catalogue of log events.
#include "buckthornrail/core/event_code.hpp"

#include <array>

namespace buckthornrail {
namespace {

constexpr std::array eventRows {
    event_info { event_code::ProcessStarted, "process_started", "A role is up; fields: role, addresses." },
    event_info { event_code::ProcessStopping, "process_stopping", "SIGTERM: no new work; work in flight goes on." },
    event_info { event_code::ProcessStopped, "process_stopped", "Work in flight has ended; the process exits." },
    event_info { event_code::SettingsRejected, "settings_rejected", "The settings file has a fault." },
    event_info { event_code::SettingsReloaded, "settings_reloaded", "The settings file was read again." },
    event_info { event_code::LogLinesDropped, "log_lines_dropped",
        "Lines over the bound of volume were left out; field: count." },
    event_info { event_code::ProcessStoodStill, "process_stood_still",
        "The machine was suspended, or the process stopped; fields: ms, version (of the document held)." },
    event_info {
        event_code::LoopHeld, "loop_held", "Work on the event loop held up everything else there; fields: work, ms." },
    event_info { event_code::RouteChosen, "route_chosen",
        "Routing decision; fields: request, attempt, candidates, chosen, reason." },
    event_info { event_code::RouteRefused, "route_refused",
        "No target could be chosen; fields: request, reason, room_in_ms (where targets take no more now)." },
    event_info { event_code::AttemptRefused, "attempt_refused", "A sidecar refused an attempt; it was not run there." },
    event_info { event_code::AttemptLost, "attempt_lost", "An attempt ended without an answer." },
    event_info { event_code::RequestFinished, "request_finished", "Final answer; fields: request, code, ran." },
    event_info { event_code::ChainBuilt, "chain_built", "Placement of a split request; fields: generation, stages." },
    event_info { event_code::GenerationFenced, "generation_fenced", "An older generation of a chain was fenced." },
    event_info { event_code::ClaimHeld, "claim_held", "A claim exists already; its holder is asked." },
    event_info { event_code::TargetAvoided, "target_avoided",
        "A gateway leaves a target alone for a while; fields: request, target, reason." },
    event_info { event_code::CallRefused, "call_refused",
        "A call ended before it was routed; fields: request, code, reason, version." },
    event_info { event_code::ReportReceived, "report_received",
        "A target was asked what holds a stream up; fields: request, target, outcome, faulty." },
    event_info { event_code::TargetUnreachable, "target_unreachable",
        "A member of a silent stream's path takes no connection; fields: target, address, how." },
    event_info { event_code::CrashBlamed, "crash_blamed",
        "A target ended shortly after requests had begun there; fields: target, address, how, begun, fingerprints." },
    event_info { event_code::TrialDecided, "trial_decided",
        "A request under which targets ended may run, or not; fields: request, fingerprint, workspace, path, target, "
        "stage, outcome." },
    event_info { event_code::RequestCleared, "request_cleared",
        "A request under which targets ended got a whole answer; fields: request, fingerprint, stage." },
    event_info { event_code::AttemptKept, "attempt_kept",
        "A stalled attempt stays where it is; fields: request, attempt, because (what stalls it), reason (why it can't "
        "move)." },
    event_info { event_code::TargetPushback, "target_pushback",
        "A target says something new on how it wants to be treated; fields: request, target, per_second, before, "
        "before_age_ms, rest_ms, leaving, source (response, controllers), reason (a field that can't be read)." },
    event_info { event_code::WorkStarted, "work_started", "A sidecar handed an attempt to its target." },
    event_info { event_code::WorkFinished, "work_finished", "An attempt ended at the target." },
    event_info { event_code::WorkCancelled, "work_cancelled", "An attempt was cancelled at the target." },
    event_info { event_code::OfferRefused, "offer_refused", "A sidecar refused an offer; fields: attempt, code." },
    event_info { event_code::TargetStateChanged, "target_state_changed", "The target's readiness changed." },
    event_info { event_code::TargetDraining, "target_draining", "The sidecar takes no new work." },
    event_info {
        event_code::OrderBegun, "order_begun", "Placement: the target is told to load a version; fields: fence." },
    event_info { event_code::OrderEnded, "order_ended", "An order to the target ended; fields: fence, code, reason." },
    event_info { event_code::LeaderElected, "leader_elected", "This controller leads; field: term." },
    event_info { event_code::LeaderLost, "leader_lost", "This controller no longer leads." },
    event_info { event_code::MemberChanged, "member_changed", "The set of controllers changed." },
    event_info { event_code::SnapshotSaved, "snapshot_saved", "A snapshot was saved and the log shortened." },
    event_info { event_code::StorageFault, "storage_fault", "The data folder failed; the controller stops voting." },
    event_info { event_code::StorageRegained, "storage_regained", "The data folder can be written again." },
    event_info { event_code::CommandForwardedAgain, "command_forwarded_again",
        "A command that isn't committed is sent to the leader once more; fields: leader, bytes, after_ms." },
    event_info { event_code::LogOpened, "log_opened",
        "A controller read its log from its disk; fields: snapshot (index that it stands for), last (index), term." },
    event_info { event_code::SnapshotInstalled, "snapshot_installed",
        "The leader's snapshot replaced what this controller held; fields: leader, index, bytes, before (index)." },
    event_info { event_code::ConfigurationAccepted, "configuration_accepted", "A change was committed." },
    event_info {
        event_code::ConfigurationRejected, "configuration_rejected", "A change was refused, with its reason." },
    event_info { event_code::ConfigurationApplied, "configuration_applied", "A version is in force in this process." },
    event_info { event_code::LeaseExpired, "lease_expired", "No controller renewed the configuration lease in time." },
    event_info { event_code::InstanceJoined, "instance_joined", "An instance joined or came back." },
    event_info { event_code::InstanceLost, "instance_lost", "An instance's heartbeats stopped." },
    event_info { event_code::InstanceDraining, "instance_draining", "An instance is leaving." },
    event_info { event_code::TargetChanged, "target_changed",
        "The replicated table shows a target anew; fields: target, service, state, layers, revision." },
    event_info { event_code::OperatorCall, "operator_call", "A call for control was answered; fields: what, status." },
    event_info { event_code::LayersOrdered, "layers_ordered",
        "A target is told which layers to hold; fields: target, layers, fence, revision." },
    event_info {
        event_code::LayersSettled, "layers_settled", "An order for layers ended; fields: target, layers, outcome." },
    event_info { event_code::SessionOpened, "session_opened", "A gateway's session with the controllers began." },
    event_info { event_code::SessionLost, "session_lost",
        "A gateway's session with the controllers ended; fields: reason, silent_ms, received, version." },
    event_info { event_code::DocumentSent, "document_sent",
        "A controller sends a gateway what it lacks; fields: gateway, from, to, bytes, waiting." },
    event_info { event_code::GatewaysCounted, "gateways_counted",
        "The number of gateways that share the budget of repeats has changed; fields: gateways, before." },
    event_info { event_code::RecordRefused, "record_refused",
        "What came as a target's announcement names no target to use; fields: call, reason, unlogged." },
    event_info { event_code::SessionMoved, "session_moved",
        "A gateway's session goes on at a controller that is nearer; fields: controller, to, version." },
    event_info { event_code::QuarantineChanged, "quarantine_changed",
        "What is held against a request has changed; fields: fingerprint, stage, crashes, proofs, ended, revision." },
    event_info { event_code::QuarantineTermEnded, "quarantine_term_ended",
        "The leader ends a trial, a quarantine or a suspicion; fields: fingerprint, stage, trial, term_ms." },
    event_info { event_code::LinkOpened, "link_opened", "A link between processes opened." },
    event_info { event_code::LinkClosed, "link_closed",
        "A link between processes closed; fields: peer, cause, silent_ms, waiting." },
    event_info { event_code::MessageRejected, "message_rejected", "A message could not be read." },
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
