/// @file
/// @brief Catalogue of result codes.
#include "buckthornrail/core/result_code.hpp"

#include "buckthornrail/core/enum_names.hpp"

#include <array>

namespace buckthornrail {
namespace {

constexpr std::array resultRows {
    result_info { result_code::Ok, "ok", 200, 0, "The request was carried out." },
    result_info {
        result_code::MalformedRequest, "malformed_request", 400, 0, "The request body or path can't be parsed." },
    result_info { result_code::BodyTooLarge, "body_too_large", 413, 0, "The request body is over the size limit." },
    result_info { result_code::UnknownWorkspace, "unknown_workspace", 403, 0,
        "The workspace isn't configured or may not use this pipeline." },
    result_info { result_code::UnknownModel, "unknown_model", 404, 0, "No pipeline serves this model." },
    result_info { result_code::BadHeader, "bad_header", 400, 0, "A request header has an invalid value." },
    result_info { result_code::UnknownService, "unknown_service", 404, 0, "No service of that name is configured." },
    result_info {
        result_code::KeyRequired, "key_required", 400, 0, "A non-idempotent request needs an Idempotency-Key header." },
    result_info {
        result_code::KeyReused, "key_reused", 422, 0, "The Idempotency-Key was used before for a different request." },
    result_info { result_code::SlowSender, "slow_sender", 408, 0, "The request arrived too slowly." },
    result_info { result_code::Unauthorized, "unauthorized", 401, 0,
        "The operator token, or the caller's key, is missing or wrong." },
    result_info { result_code::NotFound, "not_found", 404, 0, "Nothing exists under that name." },
    result_info { result_code::HeadTooLarge, "head_too_large", 431, 0, "The request's head is over the size limit." },
    result_info { result_code::NoTarget, "no_target", 503, 2, "No ready target can serve the request." },
    result_info { result_code::Busy, "busy", 503, 1, "Every suitable target is at its limit." },
    result_info {
        result_code::DeadlinePassed, "deadline_passed", 504, 1, "The deadline passed before work could start." },
    result_info {
        result_code::NoConfiguration, "no_configuration", 503, 2, "This instance holds no current configuration." },
    result_info { result_code::ClaimUnavailable, "claim_unavailable", 503, 2,
        "The claim of a non-idempotent request could not be committed." },
    result_info { result_code::ShuttingDown, "shutting_down", 503, 1, "This instance is shutting down." },
    result_info { result_code::WorkspaceLimit, "workspace_limit", 429, 1,
        "The workspace has reached its limit of requests in flight." },
    result_info { result_code::RetryBudgetSpent, "retry_budget_spent", 503, 2, "The retry budget is exhausted." },
    result_info { result_code::RequestHeld, "request_held", 503, 1,
        "Targets crashed while they ran this request: it runs at one target at a time." },
    result_info { result_code::WrongIncarnation, "wrong_incarnation", 503, 1,
        "The offer was meant for an earlier incarnation of the sidecar." },
    result_info { result_code::StaleConfiguration, "stale_configuration", 503, 1,
        "The offer was made under an older configuration." },
    result_info { result_code::Draining, "draining", 503, 1, "The target is draining." },
    result_info { result_code::QueueFull, "queue_full", 503, 1, "The target's queue is full." },
    result_info { result_code::StartDeadlinePassed, "start_deadline_passed", 503, 1,
        "The offer arrived after its start deadline." },
    result_info { result_code::Revoked, "revoked", 503, 1, "The attempt had been revoked." },
    result_info { result_code::StaleLink, "stale_link", 503, 1, "The offer came over a superseded link." },
    result_info { result_code::LeaseExpired, "lease_expired", 503, 2, "The configuration lease has expired." },
    result_info { result_code::BadChain, "bad_chain", 503, 2, "The chain of layer ranges is not valid." },
    result_info {
        result_code::FencedGeneration, "fenced_generation", 503, 1, "A higher generation of the chain has been seen." },
    result_info { result_code::TargetNotReady, "target_not_ready", 503, 1, "The target isn't ready." },
    result_info { result_code::StaleFence, "stale_fence", 409, 0, "A newer order to the target is known." },
    result_info { result_code::TargetFailed, "target_failed", 502, 1, "The target failed while it ran the request." },
    result_info { result_code::TargetStalled, "target_stalled", 504, 1, "The target stopped making progress." },
    result_info { result_code::AnswerIncomplete, "answer_incomplete", 502, 1, "The response could not be completed." },
    result_info {
        result_code::OutcomeUnknown, "outcome_unknown", 504, 0, "It can't be determined whether the request was run." },
    result_info { result_code::Cancelled, "cancelled", 499, 0, "The caller disconnected." },
    result_info {
        result_code::TargetRejected, "target_rejected", 400, 0, "The target rejected the request as invalid." },
    result_info { result_code::RequestQuarantined, "request_quarantined", 400, 0,
        "Targets crash when they start this request: it is rejected everywhere." },
    result_info { result_code::VersionConflict, "version_conflict", 409, 0,
        "The change is based on a version that is no longer current." },
    result_info {
        result_code::InvalidDocument, "invalid_document", 422, 0, "The configuration document is not valid." },
    result_info { result_code::NoQuorum, "no_quorum", 503, 2, "No quorum of controllers confirmed the operation." },
    result_info {
        result_code::AlreadyInitialized, "already_initialized", 409, 0, "The controllers are already initialized." },
    result_info {
        result_code::LastCopy, "last_copy", 409, 0, "The order would remove the last ready copy of a version in use." },
    result_info { result_code::BadSettings, "bad_settings", 400, 0, "The settings file is not valid." },
    result_info { result_code::StorageFailed, "storage_failed", 500, 0, "The data folder can't be written." },
    result_info { result_code::StorageCorrupt, "storage_corrupt", 500, 0, "The data folder holds damaged records." },
    result_info {
        result_code::MalformedMessage, "malformed_message", 400, 0, "A message between processes can't be decoded." },
    result_info { result_code::UnsupportedProtocol, "unsupported_protocol", 400, 0,
        "A message has an unsupported protocol version." },
};

constexpr std::array ranNames {
    enum_name<ran_state> { ran_state::No, "no" },
    enum_name<ran_state> { ran_state::Yes, "yes" },
    enum_name<ran_state> { ran_state::Unknown, "unknown" },
};

} // namespace

std::span<const result_info> resultTable() { return resultRows; }

const result_info& describe(result_code code)
{
    for (const auto& row : resultRows) {
        if (row.code == code)
            return row;
    }
    return describe(result_code::MalformedMessage);
}

std::optional<result_code> resultFromNumber(std::uint16_t number)
{
    for (const auto& row : resultRows) {
        if (static_cast<std::uint16_t>(row.code) == number)
            return row.code;
    }
    return std::nullopt;
}

std::string_view nameOf(ran_state ran) { return nameIn(ranNames, ran); }

} // namespace buckthornrail
