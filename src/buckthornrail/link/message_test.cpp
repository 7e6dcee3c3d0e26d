/// @file
/// @brief Round trips of the codec, and rejection of malformed messages.
#include "app/controller/controller_state.hpp"
#include "buckthornrail/link/message.hpp"
#include "buckthornrail/link/state_json.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::link;

namespace {

/// A default-constructed message of each type.
template <std::size_t Index = 0> std::vector<message> defaultMessages()
{
    if constexpr (Index < std::variant_size_v<message>) {
        auto rest = defaultMessages<Index + 1>();
        rest.insert(rest.begin(), message(std::in_place_index<Index>));
        return rest;
    } else {
        return {};
    }
}

} // namespace

TEST_CASE("codec: a controller's hello says that it leaves only if it does, and is read without that", "[link]")
{
    controller_hello hello;
    hello.member = 7;
    hello.address = "127.0.0.1:7340";
    hello.isLeaving = true;
    hello.releasedMember = 9;
    const auto decoded = decode(encode(hello));
    REQUIRE(decoded);
    CHECK(std::get<controller_hello>(*decoded).isLeaving);
    CHECK(std::get<controller_hello>(*decoded).releasedMember == 9);
    // Earlier versions neither send nor expect the two fields.
    const auto plain = nlohmann::json::from_cbor(encode(controller_hello {}));
    CHECK_FALSE(plain.at("b").contains("isLeaving"));
    CHECK_FALSE(plain.at("b").contains("releasedMember"));
    const auto old = decode(encode(controller_hello {}));
    REQUIRE(old);
    CHECK_FALSE(std::get<controller_hello>(*old).isLeaving);
}

TEST_CASE("codec: every type of message is decoded unchanged", "[link]")
{
    for (const auto& message : defaultMessages()) {
        const auto bytes = encode(message);
        const auto decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encode(*decoded) == bytes);
    }
    agreement::peer_message peer;
    peer.body = agreement::append_request { 1, 2, 3, 4, { { 5, 6, agreement::entry_kind::Members, "\xff\x01x", {} } } };
    CHECK(encode(*decode(encode(peer))) == encode(peer));
    member_report report;
    report.sessions.lives = { { "gateway", 7, { { "service", 3 } }, true } };
    report.heard = { { "target", 1700000000000, 12 } };
    const auto decoded = decode(encode(report));
    REQUIRE(decoded);
    const auto& read = std::get<member_report>(*decoded);
    CHECK(read.sessions.lives.at(0).incarnation == 7);
    CHECK(read.sessions.lives.at(0).spent.at(0).repeats == 3);
    CHECK(read.sessions.lives.at(0).isComplete);
    CHECK(read.heard.at(0).id == "target");
    CHECK(read.heard.at(0).startedMs == 1700000000000);
    CHECK(read.heard.at(0).sequence == 12);
}

TEST_CASE("codec: the quarantine fields of gateway messages are decoded unchanged, and are optional", "[link]")
{
    request_fingerprint fingerprint;
    fingerprint.bytes.fill(0xA5);
    request_fingerprint other;
    other.bytes.fill(0x5A);
    gateway_heartbeat heartbeat;
    heartbeat.quarantineRevision = 4;
    registry::quarantine_change change;
    change.crashes.push_back({ { "t", 7 }, { fingerprint }, { { { other, 321 } } } });
    change.claims.push_back({ fingerprint, 11, { "u", 8 }, { { "v", 9 } } });
    change.ends.push_back({ fingerprint, 11 });
    change.cleared.push_back(fingerprint);
    change.expired.push_back({ fingerprint, 3 });
    heartbeat.quarantine.push_back({ 5, change });
    const auto bytes = encode(message(heartbeat));
    const auto decoded = decode(bytes);
    REQUIRE(decoded);
    CHECK(encode(*decoded) == bytes);
    const auto& read = std::get<gateway_heartbeat>(*decoded).quarantine.at(0).change;
    CHECK(read.crashes.at(0).begun.at(0) == fingerprint);
    CHECK(read.crashes.at(0).partsOf(0).front().part == other);
    CHECK(read.crashes.at(0).partsOf(0).front().presence == 321);
    CHECK(read.crashes.at(0).partsOf(1).empty());
    CHECK(read.claims.at(0).target == registry::target_incarnation("u", 8));
    CHECK(read.claims.at(0).members == std::vector { registry::target_incarnation("v", 9) });
    gateway_update update;
    update.quarantine.push_back({ 6, true, { { fingerprint, registry::quarantine_stage::Held, true, true } } });
    update.quarantineReceipts.push_back({ 5, { { 11, registry::trial_refusal::Running } } });
    CHECK(encode(*decode(encode(message(update)))) == encode(message(update)));
    // Earlier versions know neither parts of prompts nor members of paths.
    const auto reduced = [](const auto& value, const std::vector<std::string>& names) {
        nlohmann::json fields = value;
        for (const auto& name : names)
            fields.erase(name);
        return fields;
    };
    CHECK(reduced(change.crashes.at(0), { "parts" }).get<registry::crash_report>().parts.empty());
    CHECK(reduced(change.claims.at(0), { "members" }).get<registry::trial_claim>().members.empty());
    const auto& status = update.quarantine.at(0).standings.at(0);
    CHECK_FALSE(reduced(status, { "isPart", "isContested" }).get<registry::quarantine_status>().isPart);
    registry::quarantine_entry entry;
    entry.isPart = true;
    CHECK_FALSE(reduced(entry, { "isPart", "isContested", "evidence", "presences", "related", "trialMembers" })
                    .get<registry::quarantine_entry>()
                    .isPart);
    // Earlier versions send neither; all other fields are required.
    const auto without = [](const message& whole, const std::vector<std::string>& names) {
        auto envelope = nlohmann::json::from_cbor(encode(whole));
        for (const auto& name : names)
            envelope.at("b").erase(name);
        std::string encoded;
        nlohmann::json::to_cbor(envelope, encoded);
        return decode(encoded);
    };
    CHECK(without(message(heartbeat), { "quarantine", "quarantineRevision" }).has_value());
    CHECK(without(message(update), { "quarantine", "quarantineReceipts" }).has_value());
    CHECK_FALSE(without(message(heartbeat), { "life" }).has_value());
    CHECK_FALSE(without(message(update), { "gateways" }).has_value());
}

// Guards against a broken rolling upgrade: earlier versions neither send nor read these fields.
TEST_CASE(
    "codec: rate limits, leaving targets and a gateway's ordinal are decoded unchanged, and are optional", "[link]")
{
    const std::vector<registry::limit_report> limits { { { "t", 7 }, 2.5, 40 }, { "u", std::nullopt, 0 } };
    gateway_heartbeat heartbeat;
    heartbeat.limits = limits;
    heartbeat.leavingTargets = { { "t", 7 } };
    gateway_update update;
    update.limits = limits;
    update.ordinal = 3;
    member_report report;
    report.limits = limits;
    report.leavingTargets = { { "t", 7 } };
    registry::fleet_report response;
    response.limits = limits;
    response.ordinals = { { "g", 3 } };
    for (const message& whole : { message(heartbeat), message(update), message(report), message(response) }) {
        CHECK(encode(*decode(encode(whole))) == encode(whole));
        auto envelope = nlohmann::json::from_cbor(encode(whole));
        for (const std::string name : { "limits", "ordinal", "ordinals", "leavingTargets" })
            envelope.at("b").erase(name);
        std::string reduced;
        nlohmann::json::to_cbor(envelope, reduced);
        CHECK(decode(reduced).has_value());
    }
    CHECK(std::get<gateway_heartbeat>(*decode(encode(message(heartbeat)))).leavingTargets == heartbeat.leavingTargets);
    CHECK(std::get<member_report>(*decode(encode(message(report)))).leavingTargets == report.leavingTargets);
    const auto decoded = decode(encode(message(update)));
    CHECK(std::get<gateway_update>(*decoded).limits == limits);
    CHECK(std::get<gateway_update>(*decoded).ordinal == 3U);
}

// Guards against larger messages, and against fields that earlier versions don't know, where no service is ranked. The
// texts list all fields of the version before demand was exchanged.
TEST_CASE("codec: without demand, messages have the same bytes as before demand was exchanged", "[link]")
{
    const auto bytesOf = [](const message& value, const std::string& body) {
        const nlohmann::json envelope { { "v", protocolVersion }, { "t", value.index() },
            { "b", nlohmann::json::parse(body) } };
        std::string bytes;
        nlohmann::json::to_cbor(envelope, bytes);
        return bytes;
    };
    gateway_heartbeat heartbeat;
    heartbeat.instance = "g";
    heartbeat.openAttempts = 2;
    heartbeat.loads = { 3, 0 };
    CHECK(encode(message(heartbeat)) == bytesOf(message(heartbeat), R"({"instance":"g","sequence":0,
        "documentVersion":0,"targetRevision":0,"openAttempts":2,"darkTargets":[],"loads":[3,0],"life":0,"repeats":[],
        "isRepeatsComplete":false,"quarantineRevision":0,"quarantine":[],"limits":[],"leavingTargets":[]})"));
    gateway_update update;
    update.isServed = true;
    update.othersLoads = { 3, 0 };
    CHECK(encode(message(update)) == bytesOf(message(update), R"({"sequence":0,"isServed":true,
        "waitsForQuorum":false,"document":[],"targets":[],"controllers":[],"gateways":1,"budgetSharers":0,
        "earlierRepeats":[],"othersOpenAttempts":0,"othersLoads":[3,0],"quarantine":[],"quarantineReceipts":[],
        "limits":[]})"));
    member_report report;
    report.sessions.sums.gateways = 2;
    CHECK(encode(message(report)) == bytesOf(message(report), R"({"sessions":{"sequence":0,
        "sums":{"gateways":2,"openAttempts":0,"targetRevision":0,"loads":[]},"lives":[]},"heard":[],"darkTargets":[],
        "limits":[],"leavingTargets":[]})"));
    registry::fleet_report response;
    response.others.gateways = 2;
    CHECK(encode(message(response)) == bytesOf(message(response), R"({"answers":0,
        "others":{"gateways":2,"openAttempts":0,"targetRevision":0,"loads":[]},"budgetSharers":0,"earlier":[],
        "ordinals":[],"limits":[]})"));
}

// Guards against a broken rolling upgrade: earlier versions neither send nor read the demand.
TEST_CASE("codec: the demand by priority is decoded unchanged, and is optional", "[link]")
{
    const registry::demand_report demand { { "s", 9, { { 0, 1, 2, 3, 4, 5 }, { 2, 4'000'000'000, 0, 0, 0, 0 } } },
        { "t", 0, {} } };
    gateway_heartbeat heartbeat;
    heartbeat.demand = demand;
    gateway_update update;
    update.othersDemand = demand;
    member_report report;
    report.sessions.sums.demand = demand;
    registry::fleet_report response;
    response.others.demand = demand;
    const auto demandIn = [](const message& value) {
        if (const auto* read = std::get_if<gateway_heartbeat>(&value))
            return read->demand;
        if (const auto* read = std::get_if<gateway_update>(&value))
            return read->othersDemand;
        if (const auto* read = std::get_if<member_report>(&value))
            return read->sessions.sums.demand;
        return std::get<registry::fleet_report>(value).others.demand;
    };
    const auto recoded = [](const nlohmann::json& envelope) {
        std::string bytes;
        nlohmann::json::to_cbor(envelope, bytes);
        return decode(bytes);
    };
    const std::vector<std::tuple<message, std::string, std::string>> places { { heartbeat, "/b", "demand" },
        { update, "/b", "othersDemand" }, { report, "/b/sessions/sums", "demand" },
        { response, "/b/others", "demand" } };
    for (const auto& [whole, parent, name] : places) {
        CHECK(demandIn(*decode(encode(whole))) == demand);
        CHECK(encode(*decode(encode(whole))) == encode(whole));
        auto envelope = nlohmann::json::from_cbor(encode(whole));
        auto& fields = envelope.at(nlohmann::json::json_pointer(parent));
        // A process of this version ignores fields that it doesn't know, as earlier versions ignore the demand.
        fields["unknown"] = fields.at(name);
        REQUIRE(recoded(envelope));
        CHECK(demandIn(*recoded(envelope)) == demand);
        fields.erase(name);
        REQUIRE(recoded(envelope));
        CHECK(demandIn(*recoded(envelope)).empty());
        for (const auto* malformed : { R"("s")", R"(["s"])", R"([["s",1]])", R"([["s",1,[[0,1,2,3,4]]]])" }) {
            fields[name] = nlohmann::json::parse(malformed);
            CHECK_FALSE(recoded(envelope).has_value());
        }
    }
}

// Guards against a faulty process whose report is larger than the limits, or not in order, which sums rely on.
TEST_CASE("codec: a received demand report is put in order and cut to its limits", "[link]")
{
    gateway_heartbeat heartbeat;
    for (char name = 'z'; name >= 'a'; --name)
        heartbeat.demand.push_back({ std::string(1, name), 1, { { 3, 1, 0, 0, 0, 0 }, { 1, 2, 0, 0, 0, 0 } } });
    const auto decoded = decode(encode(message(heartbeat)));
    REQUIRE(decoded);
    const auto& demand = std::get<gateway_heartbeat>(*decoded).demand;
    REQUIRE(demand.size() == registry::maxServicesInDemand);
    CHECK(demand.front() == registry::service_demand { "a", 1, { { 1, 2, 0, 0, 0, 0 }, { 3, 1, 0, 0, 0, 0 } } });
}

TEST_CASE("codec: corrupted bytes are either rejected or decoded, without a crash", "[link][property]")
{
    const auto samples = defaultMessages();
    rc::prop("bytes", [&samples] {
        auto bytes = encode(samples[*rc::gen::inRange<std::size_t>(0, samples.size())]);
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        if (*rc::gen::arbitrary<bool>())
            bytes.resize(position);
        const auto decoded = decode(bytes);
        if (!decoded)
            RC_ASSERT(decoded.error().code == result_code::MalformedMessage
                || decoded.error().code == result_code::UnsupportedProtocol);
    });
}

TEST_CASE("codec: a report with a malformed row is rejected", "[link]")
{
    using nlohmann::json;
    member_report report;
    report.sessions.lives = { { "gateway", 7, {}, true } };
    report.heard = { { "target", 1, 2 } };
    const json valid = json::from_cbor(encode(report));
    const auto isRejected = [](const json& value) {
        std::string bytes;
        json::to_cbor(value, bytes);
        const auto decoded = decode(bytes);
        return !decoded && decoded.error().code == result_code::MalformedMessage;
    };
    REQUIRE_FALSE(isRejected(valid));
    for (const json& row : { json::array(), json::array({ "target", 1 }), json::array({ 1, 1, 2 }), json("target") }) {
        json malformed = valid;
        malformed["b"]["heard"][0] = row;
        CHECK(isRejected(malformed));
        malformed = valid;
        malformed["b"]["sessions"]["lives"][0] = row;
        CHECK(isRejected(malformed));
    }
}

TEST_CASE("codec: a change of the target table is decoded unchanged", "[link]")
{
    registry::target_delta delta;
    delta.from = 3;
    delta.to = 9;
    delta.full = true;
    registry::target_record record;
    record.id = "i-1";
    record.startedMs = 1700000000000;
    record.service = "service";
    record.address = "10.0.0.1:80";
    record.failureDomain = "domain";
    record.accelerator = "kind";
    record.slots = 4;
    record.state = registry::target_state::Draining;
    record.layers = { 5, 17 };
    record.sequence = 8;
    record.revision = 9;
    delta.records = { record, registry::target_record {} };
    const auto decoded = decodeDelta(encodeDelta(delta));
    REQUIRE(decoded);
    CHECK(decoded->from == delta.from);
    CHECK(decoded->to == delta.to);
    CHECK(decoded->full);
    CHECK(decoded->records == delta.records);

    using nlohmann::json;
    json wrong = json::from_cbor(encodeDelta(delta));
    SECTION("a column is missing") { wrong["records"][0].erase(0); }
    SECTION("an unknown state") { wrong["records"][0][7] = 200; }
    SECTION("a row is not an array") { wrong["records"][0] = "i-1"; }
    SECTION("a string in place of a number") { wrong["records"][0][6] = "four"; }
    SECTION("the rows are missing") { wrong.erase("records"); }
    std::string bytes;
    json::to_cbor(wrong, bytes);
    REQUIRE_FALSE(decodeDelta(bytes));
    CHECK(decodeDelta(bytes).error().code == result_code::MalformedMessage);
}

TEST_CASE("codec: other protocol versions and unknown enumerators are rejected", "[link]")
{
    using nlohmann::json;
    json envelope = json::from_cbor(encode(dispatch::attempt_refused { { "r", 1 }, result_code::Busy, "" }));
    const auto bytesOf = [](const json& value) {
        std::string bytes;
        json::to_cbor(value, bytes);
        return bytes;
    };
    json changed = envelope;
    for (const std::uint32_t other : { protocolVersion - 1, protocolVersion + 1 }) {
        changed["v"] = other;
        CHECK(decode(bytesOf(changed)).error().code == result_code::UnsupportedProtocol);
    }
    changed = envelope;
    changed["b"]["code"] = 9999;
    CHECK(decode(bytesOf(changed)).error().code == result_code::MalformedMessage);
    changed = envelope;
    changed["t"] = 9999;
    CHECK(decode(bytesOf(changed)).error().code == result_code::MalformedMessage);
}

TEST_CASE("controller state: a restored state continues like the original", "[state][property]")
{
    using namespace buckthornrail::app;
    rc::prop("commands", [] {
        controller_state state;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        const auto commandOf = [](int step, int number) {
            command value;
            value.id = std::to_string(step % 3 == 0 ? number : step); // some ids repeat
            membership::instance_record record;
            record.id = "i" + std::to_string(step % 5);
            record.role = membership::instance_role::Sidecar;
            record.state = membership::instance_state::Ready;
            record.target.model = "m";
            record.target.version = "1";
            dispatch::claim_command claim;
            claim.key = { "w", std::to_string(step % 4) };
            claim.holder = { { "r" + std::to_string(step), 1 }, "i", 1 };
            claim.wallSeconds = static_cast<std::uint64_t>(number);
            claim.retainSeconds = 20;
            switch (step % 5) {
            case 0:
                value.body = transition_batch { { { record, step % 2 == 0 } } };
                break;
            case 1:
                value.body = drain_command { record.id, step % 2 == 0 };
                break;
            case 2:
                value.body = claim;
                break;
            case 3:
                value.body = order_command { record.id, "m", "2" };
                break;
            default:
                value.body = configuration::change_command { value.id, 0, "", 0,
                    R"([{"op":"add","path":"/models/m","value":{}}])" };
                break;
            }
            return value;
        };
        controller_state copy;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto value = commandOf(steps[i], static_cast<int>(i));
            state.apply(*decodeCommand(encodeCommand(value)));
            if (i == steps.size() / 2)
                RC_ASSERT(copy.restore(state.save()).has_value());
            else if (i > steps.size() / 2)
                copy.apply(value);
        }
        if (!steps.empty())
            RC_ASSERT(copy.save() == state.save());
    });
    CHECK_FALSE(controller_state().restore("nonsense"));
}

TEST_CASE("codec: a message that is nested too deeply is rejected", "[link]")
{
    constexpr std::size_t levels = 1'000'000;
    constexpr char listOfOne = '\x81';
    constexpr char mapOfOne = '\xa1';
    for (const char open : { listOfOne, mapOfOne }) {
        std::string bytes;
        for (std::size_t i = 0; i < levels; ++i)
            bytes += open == mapOfOne ? std::string("\xa1\x61k") : std::string(1, open);
        CHECK(decode(bytes).error().code == result_code::MalformedMessage);
    }
}
