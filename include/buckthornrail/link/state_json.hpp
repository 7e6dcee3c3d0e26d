/// @file
/// @brief JSON/CBOR conversion of types that are used in both messages and snapshots.
#pragma once

#include "buckthornrail/configuration/configuration_store.hpp"
#include "buckthornrail/dispatch/claim_table.hpp"
#include "buckthornrail/dispatch/messages.hpp"
#include "buckthornrail/dispatch/order_sequencer.hpp"
#include "buckthornrail/link/checked_enum.hpp"
#include "buckthornrail/membership/membership_table.hpp"
#include "buckthornrail/registry/quarantine.hpp"
#include "buckthornrail/registry/target_record.hpp"

namespace nlohmann {

template <> struct adl_serializer<buckthornrail::result_code> {
    static void to_json(json& out, buckthornrail::result_code value) { out = static_cast<std::uint16_t>(value); }
    static void from_json(const json& in, buckthornrail::result_code& value)
    {
        const auto known = buckthornrail::resultFromNumber(in.get<std::uint16_t>());
        if (!known)
            throw std::out_of_range("result code is unknown");
        value = *known;
    }
};
template <>
struct adl_serializer<buckthornrail::request_priority>
    : buckthornrail::link::checked_enum<buckthornrail::request_priority, buckthornrail::request_priority::High> {
};
template <>
struct adl_serializer<buckthornrail::membership::instance_role>
    : buckthornrail::link::checked_enum<buckthornrail::membership::instance_role,
          buckthornrail::membership::instance_role::Sidecar> {
};
template <>
struct adl_serializer<buckthornrail::membership::instance_state>
    : buckthornrail::link::checked_enum<buckthornrail::membership::instance_state,
          buckthornrail::membership::instance_state::Lost> {
};
template <>
struct adl_serializer<buckthornrail::membership::target_kind>
    : buckthornrail::link::checked_enum<buckthornrail::membership::target_kind,
          buckthornrail::membership::target_kind::PlainService> {
};
template <>
struct adl_serializer<buckthornrail::registry::target_state>
    : buckthornrail::link::checked_enum<buckthornrail::registry::target_state,
          buckthornrail::registry::target_state::Lost> {
};
template <>
struct adl_serializer<buckthornrail::registry::quarantine_stage>
    : buckthornrail::link::checked_enum<buckthornrail::registry::quarantine_stage,
          buckthornrail::registry::quarantine_stage::Proven> {
};
template <>
struct adl_serializer<buckthornrail::registry::trial_refusal>
    : buckthornrail::link::checked_enum<buckthornrail::registry::trial_refusal,
          buckthornrail::registry::trial_refusal::Unknown> {
};

} // namespace nlohmann

namespace buckthornrail {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_id, request, number)

inline void to_json(nlohmann::json& out, const request_fingerprint& value)
{
    out = nlohmann::json::binary({ value.bytes.begin(), value.bytes.end() });
}
inline void from_json(const nlohmann::json& in, request_fingerprint& value)
{
    const auto& bytes = in.get_binary();
    if (bytes.size() != value.bytes.size())
        throw std::out_of_range("request fingerprint has the wrong size");
    std::copy(bytes.begin(), bytes.end(), value.bytes.begin());
}

namespace membership {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    target_description, kind, model, version, service, pool, accelerator, firstLayer, endLayer, slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(instance_record, id, role, incarnation, failureDomain, linkAddress, httpAddress,
    state, target, drainRequested, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(membership_delta, from, to, full, records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(transition, record, lossOnly)
} // namespace membership

namespace registry {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(layer_range, first, end)

inline void to_json(nlohmann::json& out, const target_record& record)
{
    out = { { "id", record.id }, { "startedMs", record.startedMs }, { "service", record.service },
        { "address", record.address }, { "failureDomain", record.failureDomain }, { "accelerator", record.accelerator },
        { "slots", record.slots }, { "state", record.state }, { "layers", record.layers },
        { "sequence", record.sequence }, { "revision", record.revision } };
}

inline void from_json(const nlohmann::json& in, target_record& record)
{
    in.at("id").get_to(record.id);
    record.startedMs = in.value("startedMs", std::uint64_t { 0 }); // missing in logs of earlier versions
    in.at("service").get_to(record.service);
    in.at("address").get_to(record.address);
    in.at("failureDomain").get_to(record.failureDomain);
    in.at("accelerator").get_to(record.accelerator);
    in.at("slots").get_to(record.slots);
    in.at("state").get_to(record.state);
    in.at("layers").get_to(record.layers);
    in.at("sequence").get_to(record.sequence);
    in.at("revision").get_to(record.revision);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_incarnation, id, startedMs)

// Fields that processes of earlier versions don't send are optional: parts of prompts and members of paths.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(suspect_part, part, presence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(crash_evidence, presence, hits, ends, trials)
inline void to_json(nlohmann::json& out, const crash_report& value)
{
    out = { { "target", value.target }, { "begun", value.begun } };
    if (!value.parts.empty())
        out["parts"] = value.parts;
}
inline void from_json(const nlohmann::json& in, crash_report& value)
{
    in.at("target").get_to(value.target);
    in.at("begun").get_to(value.begun);
    value.parts = in.value("parts", std::vector<std::vector<suspect_part>>());
}
inline void to_json(nlohmann::json& out, const trial_claim& value)
{
    out = { { "fingerprint", value.fingerprint }, { "trial", value.trial }, { "target", value.target } };
    if (!value.members.empty())
        out["members"] = value.members;
}
inline void from_json(const nlohmann::json& in, trial_claim& value)
{
    in.at("fingerprint").get_to(value.fingerprint);
    in.at("trial").get_to(value.trial);
    in.at("target").get_to(value.target);
    value.members = in.value("members", std::vector<target_incarnation>());
}
inline void to_json(nlohmann::json& out, const quarantine_entry& value)
{
    out = { { "stage", value.stage }, { "isPart", value.isPart }, { "isContested", value.isContested },
        { "ended", value.ended }, { "presences", value.presences }, { "crashes", value.crashes },
        { "evidence", value.evidence }, { "related", value.related }, { "proofs", value.proofs },
        { "trial", value.trial }, { "trialTarget", value.trialTarget }, { "trialMembers", value.trialMembers },
        { "revision", value.revision }, { "stageRevision", value.stageRevision } };
}
inline void from_json(const nlohmann::json& in, quarantine_entry& value)
{
    in.at("stage").get_to(value.stage);
    value.isPart = in.value("isPart", false);
    value.isContested = in.value("isContested", false);
    in.at("ended").get_to(value.ended);
    in.at("crashes").get_to(value.crashes);
    value.presences = in.value("presences", std::vector<surprise>());
    value.presences.resize(value.ended.size());
    value.evidence = in.value("evidence", crash_evidence());
    value.related = in.value("related", std::vector<request_fingerprint>());
    in.at("proofs").get_to(value.proofs);
    in.at("trial").get_to(value.trial);
    in.at("trialTarget").get_to(value.trialTarget);
    value.trialMembers = in.value("trialMembers", std::vector<target_incarnation>());
    in.at("revision").get_to(value.revision);
    in.at("stageRevision").get_to(value.stageRevision);
}
inline void to_json(nlohmann::json& out, const quarantine_status& value)
{
    out = { { "fingerprint", value.fingerprint }, { "stage", value.stage } };
    if (value.isPart)
        out["isPart"] = true;
    if (value.isContested)
        out["isContested"] = true;
}
inline void from_json(const nlohmann::json& in, quarantine_status& value)
{
    in.at("fingerprint").get_to(value.fingerprint);
    in.at("stage").get_to(value.stage);
    value.isPart = in.value("isPart", false);
    value.isContested = in.value("isContested", false);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(trial_end, fingerprint, trial)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quarantine_expiry, fingerprint, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quarantine_change, crashes, claims, ends, cleared, expired)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quarantine_delta, to, full, standings)
} // namespace registry

namespace dispatch {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_key, workspace, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_holder, attempt, instance, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_command, key, requestDigest, holder, replaces, wallSeconds, retainSeconds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_order, fence, model, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_record, key, requestDigest, holder, retainUntil)
} // namespace dispatch

namespace configuration {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_command, changeId, base, author, wallSeconds, patch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_result, changeId, code, reason, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_record, version, changeId, author, wallSeconds, patch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_state, version, text, history, results)
} // namespace configuration

} // namespace buckthornrail
