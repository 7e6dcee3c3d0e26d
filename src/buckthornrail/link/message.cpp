/// @file
/// @brief CBOR codec of the messages: {"v": version, "t": type, "b": body}.
#include "buckthornrail/link/message.hpp"

#include "buckthornrail/link/agreement_json.hpp"
#include "buckthornrail/link/demand_json.hpp"
#include "buckthornrail/link/state_json.hpp"

#include <array>

namespace nlohmann {

template <>
struct adl_serializer<buckthornrail::dispatch::work_kind>
    : buckthornrail::link::checked_enum<buckthornrail::dispatch::work_kind, buckthornrail::dispatch::work_kind::Stage> {
};
template <>
struct adl_serializer<buckthornrail::dispatch::frame_kind>
    : buckthornrail::link::checked_enum<buckthornrail::dispatch::frame_kind,
          buckthornrail::dispatch::frame_kind::Data> {
};
template <>
struct adl_serializer<buckthornrail::dispatch::revoke_outcome>
    : buckthornrail::link::checked_enum<buckthornrail::dispatch::revoke_outcome,
          buckthornrail::dispatch::revoke_outcome::Unknown> {
};
template <>
struct adl_serializer<buckthornrail::dispatch::attach_outcome>
    : buckthornrail::link::checked_enum<buckthornrail::dispatch::attach_outcome,
          buckthornrail::dispatch::attach_outcome::Gone> {
};
template <>
struct adl_serializer<buckthornrail::dispatch::claim_outcome>
    : buckthornrail::link::checked_enum<buckthornrail::dispatch::claim_outcome,
          buckthornrail::dispatch::claim_outcome::Reused> {
};

} // namespace nlohmann

namespace buckthornrail {

namespace agreement {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vote_request, lastIndex, lastTerm, preVote, transfer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vote_reply, granted, preVote)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_request, previousIndex, previousTerm, commit, round, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_reply, accepted, matchIndex, round)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(snapshot_request, base, round)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(read_request, readId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(read_reply, readId, index)

static void to_json(nlohmann::json& out, const election_request& /*value*/) { out = nlohmann::json::object(); }
static void from_json(const nlohmann::json& /*in*/, election_request& /*value*/) { }
} // namespace agreement

namespace registry {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(service_retries, service, repeats)

// As an array: reports contain hundreds per second, and field names would be most of their bytes.
static void to_json(nlohmann::json& out, const gateway_usage& value)
{
    out = nlohmann::json::array({ value.id, value.incarnation, value.spent, value.isComplete });
}
static void from_json(const nlohmann::json& in, gateway_usage& value)
{
    value = { in.at(0).get<std::string>(), in.at(1).get<std::uint64_t>(), in.at(2).get<retry_counts>(),
        in.at(3).get<bool>() };
}

// As an array, like gateway_usage.
static void to_json(nlohmann::json& out, const limit_report& value)
{
    out = nlohmann::json::array({ value.target, nullptr, value.ageMs });
    if (value.perSecond)
        out[1] = *value.perSecond;
}
static void from_json(const nlohmann::json& in, limit_report& value)
{
    in.at(0).get_to(value.target);
    value.perSecond.reset();
    if (!in.at(1).is_null())
        value.perSecond = in.at(1).get<double>();
    in.at(2).get_to(value.ageMs);
}

/// Reads a field that earlier versions don't send: during a rolling upgrade both versions run.
template <typename Field> void readOptional(const nlohmann::json& in, const char* name, Field& field)
{
    if (const auto found = in.find(name); found != in.end())
        found->get_to(field);
}

static void to_json(nlohmann::json& out, const session_totals& value)
{
    out = { { "gateways", value.gateways }, { "openAttempts", value.openAttempts },
        { "targetRevision", value.targetRevision }, { "loads", value.loads } };
    link::writeDemand(out, "demand", value.demand);
}
static void from_json(const nlohmann::json& in, session_totals& value)
{
    in.at("gateways").get_to(value.gateways);
    in.at("openAttempts").get_to(value.openAttempts);
    in.at("targetRevision").get_to(value.targetRevision);
    in.at("loads").get_to(value.loads);
    link::readDemand(in, "demand", value.demand);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member_report, sequence, sums, lives)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(earlier_retries, gateway, spent)
// As an array, like gateway_usage.
static void to_json(nlohmann::json& out, const gateway_ordinal& value)
{
    out = nlohmann::json::array({ value.gateway, value.ordinal });
}
static void from_json(const nlohmann::json& in, gateway_ordinal& value)
{
    value = { in.at(0).get<std::string>(), in.at(1).get<std::uint32_t>() };
}

static void to_json(nlohmann::json& out, const fleet_report& value)
{
    out = { { "answers", value.reportSequence }, { "others", value.others }, { "budgetSharers", value.budgetSharers },
        { "earlier", value.earlier }, { "ordinals", value.ordinals }, { "limits", value.limits } };
}
static void from_json(const nlohmann::json& in, fleet_report& value)
{
    in.at("answers").get_to(value.reportSequence);
    in.at("others").get_to(value.others);
    in.at("budgetSharers").get_to(value.budgetSharers);
    in.at("earlier").get_to(value.earlier);
    readOptional(in, "ordinals", value.ordinals);
    readOptional(in, "limits", value.limits);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quarantine_batch, number, change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(refused_trial, trial, why)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quarantine_receipt, number, refused)
} // namespace registry

namespace execution {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(chain_stage, instance, linkAddress, incarnation, version, firstLayer, endLayer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(chain_plan, generation, model, version, layerCount, stages)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stage_step, request, generation, token, stage, input)
} // namespace execution

namespace dispatch {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(header_field, name, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    work_order, kind, model, version, prompt, maxTokens, method, path, headers, body, chain, stage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_offer, attempt, incarnation, configuration, startWithinMs, finishWithinMs,
    workspace, weight, priority, nonIdempotent, work)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_accepted, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_refused, attempt, code, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_started, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(response_frame, attempt, sequence, kind, status, headers, bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(response_end, attempt, code, reason, frameCount, digest, finishReason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_revoke, attempt, incarnation, cancelStarted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revoke_reply, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(response_attach, attempt, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attach_reply, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(load_report, instance, running, queued, slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_result, outcome, holder)
} // namespace dispatch

namespace link {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(link_hello, instance, incarnation, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(link_welcome, instance, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(session_announce, record, configuration, membershipRevision, wantsState)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(session_heartbeat, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(session_ack, sequence, configuration, drain, known, order)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_report, instance, fence, code, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(configuration_page, from, to, page, pages, bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_request, commandId, command)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_reply, commandId, available, result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forward_command, bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(lease_report, instances)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(join_request, member, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(controller_endpoint, address, controlAddress, failureDomain)
using registry::readOptional;

static void to_json(nlohmann::json& out, const controller_hello& value)
{
    out = { { "member", value.member }, { "address", value.address }, { "initialized", value.initialized },
        { "controlAddress", value.controlAddress }, { "failureDomain", value.failureDomain } };
    if (value.isLeaving)
        out["isLeaving"] = true;
    if (value.releasedMember != 0)
        out["releasedMember"] = value.releasedMember;
}
static void from_json(const nlohmann::json& in, controller_hello& value)
{
    in.at("member").get_to(value.member);
    in.at("address").get_to(value.address);
    in.at("initialized").get_to(value.initialized);
    in.at("controlAddress").get_to(value.controlAddress);
    in.at("failureDomain").get_to(value.failureDomain);
    readOptional(in, "isLeaving", value.isLeaving);
    readOptional(in, "releasedMember", value.releasedMember);
}

static void to_json(nlohmann::json& out, const gateway_heartbeat& value)
{
    out = { { "instance", value.instance }, { "sequence", value.sequence },
        { "documentVersion", value.documentVersion }, { "targetRevision", value.targetRevision },
        { "openAttempts", value.openAttempts }, { "darkTargets", value.darkTargets }, { "loads", value.loads },
        { "life", value.life }, { "repeats", value.repeats }, { "isRepeatsComplete", value.isRepeatsComplete },
        { "quarantineRevision", value.quarantineRevision }, { "quarantine", value.quarantine },
        { "limits", value.limits }, { "leavingTargets", value.leavingTargets } };
    if (value.sliceVersion)
        out["sliceVersion"] = *value.sliceVersion;
    writeDemand(out, "demand", value.demand);
}
static void from_json(const nlohmann::json& in, gateway_heartbeat& value)
{
    in.at("instance").get_to(value.instance);
    in.at("sequence").get_to(value.sequence);
    in.at("documentVersion").get_to(value.documentVersion);
    in.at("targetRevision").get_to(value.targetRevision);
    in.at("openAttempts").get_to(value.openAttempts);
    in.at("darkTargets").get_to(value.darkTargets);
    in.at("loads").get_to(value.loads);
    in.at("life").get_to(value.life);
    in.at("repeats").get_to(value.repeats);
    in.at("isRepeatsComplete").get_to(value.isRepeatsComplete);
    readOptional(in, "quarantineRevision", value.quarantineRevision);
    readOptional(in, "quarantine", value.quarantine);
    readOptional(in, "limits", value.limits);
    readOptional(in, "leavingTargets", value.leavingTargets);
    if (const auto found = in.find("sliceVersion"); found != in.end())
        value.sliceVersion = found->get<std::uint64_t>();
    readDemand(in, "demand", value.demand);
}

// As an array, like registry::gateway_usage.
static void to_json(nlohmann::json& out, const target_heartbeat& value)
{
    out = nlohmann::json::array({ value.id, value.startedMs, value.sequence });
}
static void from_json(const nlohmann::json& in, target_heartbeat& value)
{
    value = { in.at(0).get<std::string>(), in.at(1).get<std::uint64_t>(), in.at(2).get<std::uint64_t>() };
}

static void to_json(nlohmann::json& out, const member_report& value)
{
    out = { { "sessions", value.sessions }, { "heard", value.heard }, { "darkTargets", value.darkTargets },
        { "limits", value.limits }, { "leavingTargets", value.leavingTargets } };
}
static void from_json(const nlohmann::json& in, member_report& value)
{
    in.at("sessions").get_to(value.sessions);
    in.at("heard").get_to(value.heard);
    in.at("darkTargets").get_to(value.darkTargets);
    readOptional(in, "limits", value.limits);
    readOptional(in, "leavingTargets", value.leavingTargets);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(text_update, from, to, patch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(document_slice, from, to, number, count, digest, patch)
static void to_json(nlohmann::json& out, const gateway_update& value)
{
    out = { { "sequence", value.sequence }, { "isServed", value.isServed }, { "waitsForQuorum", value.waitsForQuorum },
        { "document", value.document }, { "targets", value.targets }, { "controllers", value.controllers },
        { "gateways", value.gateways }, { "budgetSharers", value.budgetSharers },
        { "earlierRepeats", value.earlierRepeats }, { "othersOpenAttempts", value.othersOpenAttempts },
        { "othersLoads", value.othersLoads }, { "quarantine", value.quarantine },
        { "quarantineReceipts", value.quarantineReceipts }, { "limits", value.limits } };
    if (value.ordinal)
        out["ordinal"] = *value.ordinal;
    writeDemand(out, "othersDemand", value.othersDemand);
}
static void from_json(const nlohmann::json& in, gateway_update& value)
{
    in.at("sequence").get_to(value.sequence);
    in.at("isServed").get_to(value.isServed);
    in.at("waitsForQuorum").get_to(value.waitsForQuorum);
    in.at("document").get_to(value.document);
    in.at("targets").get_to(value.targets);
    in.at("controllers").get_to(value.controllers);
    in.at("gateways").get_to(value.gateways);
    in.at("budgetSharers").get_to(value.budgetSharers);
    in.at("earlierRepeats").get_to(value.earlierRepeats);
    in.at("othersOpenAttempts").get_to(value.othersOpenAttempts);
    in.at("othersLoads").get_to(value.othersLoads);
    readOptional(in, "quarantine", value.quarantine);
    readOptional(in, "quarantineReceipts", value.quarantineReceipts);
    readOptional(in, "limits", value.limits);
    if (const auto found = in.find("ordinal"); found != in.end())
        value.ordinal = found->get<std::uint32_t>();
    readDemand(in, "othersDemand", value.othersDemand);
}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stage_fence, request, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stage_fenced, request, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stage_close, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stage_token, request, generation, token, text, last, finishReason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stage_failed, request, generation, stage, code, reason)

namespace {

using nlohmann::json;

/// Reads the variant's alternative with index `type`.
template <typename Variant, std::size_t Index = 0> Variant bodyFromJson(std::size_t type, const json& body)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (type == Index)
            return Variant(std::in_place_index<Index>, body.get<std::variant_alternative_t<Index, Variant>>());
        return bodyFromJson<Variant, Index + 1>(type, body);
    } else {
        throw std::out_of_range("message type " + std::to_string(type) + " is unknown");
    }
}

/// The parser is recursive: a message with a million nested lists would overflow the stack. Valid messages have about
/// ten levels.
constexpr std::size_t maxNestingDepth = 64;

/// Measures the nesting depth of a message without building it, and stops parsing above the limit.
class nesting_checker : public nlohmann::json_sax<json> {
public:
    [[nodiscard]] bool isTooDeep() const { return m_isTooDeep; }

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool key(string_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return enter(); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*elements*/) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/, const json::exception& /*error*/) override
    {
        return false; // reported by the second parse, in readCbor()
    }

private:
    bool enter()
    {
        m_isTooDeep = ++m_depth > maxNestingDepth;
        return !m_isTooDeep;
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
    bool m_isTooDeep = false;
};

bool isNestedTooDeep(const std::string& bytes)
{
    nesting_checker checker;
    (void)json::sax_parse(bytes, &checker, json::input_format_t::cbor);
    return checker.isTooDeep();
}

/// Reads CBOR from another process.
/// @return the result of `build`; MalformedMessage when the CBOR can't be read or `build` throws
template <typename Build>
auto readCbor(const std::string& bytes, const Build& build) -> tl::expected<decltype(build(json())), failure>
{
    const auto malformed = [](const std::string& reason) {
        return tl::make_unexpected(failure { result_code::MalformedMessage, reason });
    };
    if (isNestedTooDeep(bytes))
        return malformed("message is nested too deeply");
    try {
        return build(json::from_cbor(bytes));
    } catch (const json::exception& error) {
        return malformed(error.what());
    } catch (const std::out_of_range& error) {
        return malformed(error.what());
    }
}

template <typename Variant> json bodyToJson(const Variant& value)
{
    return std::visit([](const auto& body) { return json(body); }, value);
}

} // namespace
} // namespace link

namespace agreement {

static void to_json(nlohmann::json& out, const peer_message& value)
{
    out = { { "from", value.from }, { "to", value.to }, { "term", value.term }, { "type", value.body.index() },
        { "body", link::bodyToJson(value.body) } };
}

static void from_json(const nlohmann::json& in, peer_message& value)
{
    value.from = in.at("from").get<member_id>();
    value.to = in.at("to").get<member_id>();
    value.term = in.at("term").get<term_number>();
    value.body = link::bodyFromJson<peer_body>(in.at("type").get<std::size_t>(), in.at("body"));
}

} // namespace agreement

namespace link {

std::string encode(const message& value)
{
    const json envelope = { { "v", protocolVersion }, { "t", value.index() }, { "b", bodyToJson(value) } };
    std::string bytes;
    json::to_cbor(envelope, bytes);
    return bytes;
}

tl::expected<message, failure> decode(const std::string& bytes)
{
    const auto build = [](const json& envelope) -> tl::expected<message, failure> {
        if (envelope.at("v").get<std::uint32_t>() != protocolVersion)
            return tl::make_unexpected(failure { result_code::UnsupportedProtocol, "" });
        return bodyFromJson<message>(envelope.at("t").get<std::size_t>(), envelope.at("b"));
    };
    auto read = readCbor(bytes, build);
    return read ? std::move(*read) : tl::make_unexpected(read.error());
}

namespace {

/// Encodes a target record as an array of its fields, in the order of target_record. Each gateway reads tables of 3,000
/// targets with a tenth of a core, and field names would be most of the data.
json rowOf(const registry::target_record& record)
{
    return json::array(
        { record.id, record.startedMs, record.service, record.address, record.failureDomain, record.accelerator,
            record.slots, record.state, record.layers.first, record.layers.end, record.sequence, record.revision });
}

registry::target_record recordOf(const json& row)
{
    constexpr std::size_t columns = 12;
    if (!row.is_array() || row.size() != columns)
        throw std::out_of_range("target record has the wrong number of columns");
    registry::target_record record;
    std::size_t column = 0;
    const auto readColumn = [&row, &column](auto& field) { row[column++].get_to(field); };
    readColumn(record.id);
    readColumn(record.startedMs);
    readColumn(record.service);
    readColumn(record.address);
    readColumn(record.failureDomain);
    readColumn(record.accelerator);
    readColumn(record.slots);
    readColumn(record.state);
    readColumn(record.layers.first);
    readColumn(record.layers.end);
    readColumn(record.sequence);
    readColumn(record.revision);
    return record;
}

registry::target_delta deltaOf(const json& encoded)
{
    registry::target_delta delta;
    encoded.at("from").get_to(delta.from);
    encoded.at("to").get_to(delta.to);
    encoded.at("full").get_to(delta.full);
    const auto& rows = encoded.at("records");
    delta.records.reserve(rows.size());
    for (const auto& row : rows)
        delta.records.push_back(recordOf(row));
    return delta;
}

} // namespace

std::string encodeDelta(const registry::target_delta& delta)
{
    json rows = json::array();
    for (const auto& record : delta.records)
        rows.push_back(rowOf(record));
    const json encoded { { "from", delta.from }, { "to", delta.to }, { "full", delta.full },
        { "records", std::move(rows) } };
    std::string bytes;
    json::to_cbor(encoded, bytes);
    return bytes;
}

tl::expected<registry::target_delta, failure> decodeDelta(const std::string& bytes) { return readCbor(bytes, deltaOf); }

std::string encodeChange(const document::change& change)
{
    const json encoded = json::array({ change.routes.removed, change.routes.added, change.workspaces.removed,
        change.workspaces.added, change.rest });
    std::string bytes;
    json::to_cbor(encoded, bytes);
    return bytes;
}

tl::expected<document::change, failure> decodeChange(const std::string& bytes)
{
    return readCbor(bytes, [](const json& encoded) {
        document::change change;
        encoded.at(0).get_to(change.routes.removed);
        encoded.at(1).get_to(change.routes.added);
        encoded.at(2).get_to(change.workspaces.removed);
        encoded.at(3).get_to(change.workspaces.added);
        encoded.at(4).get_to(change.rest);
        return change;
    });
}

} // namespace link
} // namespace buckthornrail
