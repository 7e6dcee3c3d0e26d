/// @file
/// @brief Tests of the registry's replicated state: versions, updates, snapshots and damaged input.
#include "app/registry/registry_state.hpp"

#include "buckthornrail/compression/text_patch.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::app;
using buckthornrail::compression::makePatch;

namespace {

registry::target_delta deltaOfOne()
{
    registry::target_record record;
    record.id = "i-1";
    record.startedMs = 17;
    record.address = "10.0.0.1:80";
    registry::target_delta delta;
    delta.to = 1;
    delta.full = true;
    delta.records.push_back(record);
    return delta;
}

} // namespace

TEST_CASE("registry state: the highest version is active, others change nothing", "[registry]")
{
    registry_state state;
    CHECK(state.applyCommand(encodePublish("1", { 7, "seven" })) == "1");
    CHECK(state.applyCommand(encodePublish("2", { 5, "five" })) == "2");
    CHECK(state.applyCommand(encodePublish("3", { 7, "other" })) == "3");
    CHECK(state.document().version == 7);
    CHECK(state.document().text == "seven");
    CHECK(state.applyCommand("no command").empty());
}

TEST_CASE("registry state: a snapshot restores everything, an empty one resets the state", "[registry]")
{
    registry_state state;
    registry::target_record record;
    record.id = "i-1";
    record.address = "10.0.0.1:80";
    record.layers = { 3, 9 };
    state.applyCommand(encodePublish("1", { 7, "seven" }));
    state.applyCommand(encodeTargets("2", { record }));
    registry_state other;
    REQUIRE(other.restoreState(state.saveState()));
    CHECK(other.document().text == "seven");
    CHECK(other.targets().records() == state.targets().records());
    CHECK(other.targets().revision() == state.targets().revision());
    REQUIRE(other.restoreState(""));
    CHECK(other.document().version == 0);
    CHECK(other.targets().records().empty());
    CHECK_FALSE(other.restoreState("damaged"));
}

TEST_CASE("registry state: an update turns any held text into the newest one", "[registry]")
{
    rc::prop("any texts", [] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
        registry_state state;
        versioned_text held;
        std::uint64_t version = 0;
        for (const auto& text : texts) {
            state.applyCommand(encodePublish(std::to_string(version + 1), { version + 1, text }));
            ++version;
            if (version % 3 == 0)
                continue; // some updates are missed
            for (const auto& update : state.documentUpdate(held.version))
                RC_ASSERT(applyTextUpdate(held, update));
            RC_ASSERT(held.version == version);
            RC_ASSERT(held.text == text);
        }
    });
}

TEST_CASE("registry state: an update with another base is rejected, an old one is ignored", "[registry]")
{
    versioned_text held { 3, "abc" };
    CHECK_FALSE(applyTextUpdate(held, { 2, 4, makePatch("abb", "axc") }));
    const std::string other = "another text, long enough that a patch takes it over instead of saying it anew";
    CHECK_FALSE(applyTextUpdate(held, { 3, 4, makePatch(other, other + "!") }));
    CHECK_FALSE(applyTextUpdate(held, { 3, 4, "x" }));
    CHECK_FALSE(applyTextUpdate(held, { 0, 4, "x" }));
    CHECK(applyTextUpdate(held, { 0, 2, makePatch({}, "old") }));
    CHECK(held.version == 3);
    CHECK(held.text == "abc");
    CHECK(applyTextUpdate(held, { 3, 4, makePatch("abc", "axc") }));
    CHECK(held.version == 4);
    CHECK(held.text == "axc");
}

TEST_CASE("registry state: a small change of a large document takes few bytes, also two versions later", "[registry]")
{
    const auto text = [](std::uint64_t version, int routes) {
        std::string whole = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
        for (int index = 0; index < routes; ++index)
            whole += "{\"name\":\"r-" + std::to_string(index * 7919 % 10007) + "\",\"timeout-ms\":2000},";
        return whole + "]}";
    };
    registry_state state;
    state.applyCommand(encodePublish("1", { 17, text(17, 3000) }));
    state.applyCommand(encodePublish("2", { 20, text(20, 3001) }));
    state.applyCommand(encodePublish("3", { 22, text(22, 3002) }));
    for (const std::uint64_t held : { 17U, 20U }) {
        const auto updates = state.documentUpdate(held);
        REQUIRE(updates.size() == 1);
        CHECK(updates.front().from == held);
        CHECK(updates.front().patch.size() < 200);
    }
    CHECK(state.documentUpdate(22).empty());
    CHECK(state.documentUpdate(5).front().from == 0);
}

TEST_CASE("registry state: every receiver's table catches up, whatever it has missed", "[registry]")
{
    rc::prop("any changes, any receivers", [] {
        constexpr int receivers = 4;
        registry_state state;
        std::vector<registry::target_view> views(receivers);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        std::uint64_t sequence = 0;
        for (const int step : steps) {
            registry::target_record record;
            record.id = "i-" + std::to_string(step % 10);
            record.address = "10.0.0." + std::to_string(step % 10) + ":80";
            record.layers = { 0, static_cast<std::uint32_t>(step) };
            record.sequence = ++sequence;
            state.applyCommand(encodeTargets(std::to_string(sequence), { record }));
            auto& view = views[static_cast<std::size_t>(step) % receivers];
            for (const auto& update : state.targetsUpdate(view.revision())) {
                const auto delta = readTargetsUpdate(update);
                RC_ASSERT(delta.has_value());
                RC_ASSERT(view.apply(*delta));
            }
            RC_ASSERT(view.records() == state.targets().records());
            RC_ASSERT(state.targetsUpdate(view.revision()).empty());
        }
    });
}

TEST_CASE("registry state: a damaged update of the target table is rejected", "[registry]")
{
    registry_state state;
    registry::target_record record;
    record.id = "i-1";
    record.address = "10.0.0.1:80";
    state.applyCommand(encodeTargets("1", { record }));
    const auto intact = state.targetsUpdate(0).front();
    CHECK(readTargetsUpdate(intact).has_value());
    rc::prop("any byte, any end", [&intact] {
        auto damaged = intact;
        damaged.patch.resize(*rc::gen::inRange<std::size_t>(0, intact.patch.size()));
        RC_ASSERT_FALSE(readTargetsUpdate(damaged).has_value());
        // Intact frames whose content is no valid delta, as a faulty sender would produce them.
        auto bytes = link::encodeDelta(deltaOfOne());
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        (void)readTargetsUpdate({ 0, 1, makePatch({}, bytes) });
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
        RC_ASSERT_FALSE(readTargetsUpdate({ 0, 1, makePatch({}, bytes) }).has_value());
    });
    CHECK_FALSE(readTargetsUpdate({ 0, 1, makePatch({}, std::string(1000, '\x81')) }).has_value());
}

TEST_CASE(
    "registry state: commands and snapshots with the uncompressed text of earlier versions are read", "[registry]")
{
    const nlohmann::json command { { "id", "1" }, { "version", 7 }, { "text", "seven" } };
    const nlohmann::json snapshot { { "version", 7 }, { "text", "seven" }, { "targets", nlohmann::json::array() },
        { "revision", 0 }, { "pruned", 0 } };
    const auto bytesOf = [](const nlohmann::json& value) {
        std::string bytes;
        nlohmann::json::to_cbor(value, bytes);
        return bytes;
    };
    registry_state state;
    CHECK(state.applyCommand(bytesOf(command)) == "1");
    CHECK(state.document().text == "seven");
    registry_state other;
    REQUIRE(other.restoreState(bytesOf(snapshot)));
    CHECK(other.document().version == 7);
    CHECK(other.document().text == "seven");
}

TEST_CASE("registry state: a command that claims an enormous size is rejected", "[registry]")
{
    std::string mapOf(9, '\x62'); // announces 7 * 10^18 elements
    mapOf.front() = '\xbb';
    registry_state state;
    CHECK(state.applyCommand(mapOf).empty());
    CHECK_FALSE(state.restoreState(mapOf));
}

TEST_CASE("registry state: damaged commands and snapshots are rejected, and change nothing else", "[registry]")
{
    rc::prop("any byte, any end", [] {
        registry::target_record record;
        record.id = "i-1";
        record.startedMs = 17;
        record.address = "10.0.0.1:80";
        const auto damage = [](std::string bytes) {
            const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
            if (*rc::gen::arbitrary<bool>())
                bytes.resize(position);
            return bytes;
        };
        registry_state state;
        state.applyCommand(encodePublish("1", { 7, "seven" }));
        (void)state.applyCommand(damage(encodeTargets("2", { record })));
        RC_ASSERT(state.document().text == "seven");
        (void)state.applyCommand(damage(encodePublish("3", { 8, std::string(300, 'x') })));
        RC_ASSERT(state.document().version >= 7U);
        registry_state other;
        const auto restored = other.restoreState(damage(state.saveState()));
        RC_ASSERT((restored || restored.error().code == result_code::StorageCorrupt));
    });
}

TEST_CASE(
    "registry state: a snapshot contains the quarantine; after one of an earlier version it is empty", "[registry]")
{
    request_fingerprint fingerprint;
    fingerprint.bytes.fill(0xC3);
    registry::quarantine_change change;
    change.crashes = { { "a", { fingerprint } }, { "b", { fingerprint } } };
    change.claims = { { fingerprint, 7, "c" } };
    registry_state state;
    CHECK(state.applyCommand(encodeQuarantine("id", change)) == "id");
    registry_state copy;
    REQUIRE(copy.restoreState(state.saveState()));
    const auto* entry = copy.quarantine().find(fingerprint);
    REQUIRE(entry != nullptr);
    CHECK(entry->stage == registry::quarantine_stage::Held);
    CHECK(entry->trial == 7U);
    CHECK(copy.quarantine().revision() == state.quarantine().revision());
    // The trial still runs alone after the restore, so the end of its target proves the request on both replicas.
    registry::quarantine_change end;
    end.crashes = { { "c", { fingerprint } } };
    for (auto* each : { &state, &copy }) {
        CHECK(each->applyCommand(encodeQuarantine("end", end)) == "end");
        CHECK(each->quarantine().find(fingerprint)->stage == registry::quarantine_stage::Proven);
        CHECK(each->quarantine().find(fingerprint)->proofs == 1U);
    }
    auto earlier = nlohmann::json::from_cbor(state.saveState());
    earlier.erase("quarantine");
    earlier.erase("quarantineRevision");
    std::string bytes;
    nlohmann::json::to_cbor(earlier, bytes);
    REQUIRE(copy.restoreState(bytes));
    CHECK(copy.quarantine().entries().empty());
}
