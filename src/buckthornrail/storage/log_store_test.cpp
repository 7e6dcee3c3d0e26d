/// @file
/// @brief Tests of the log's files with faults at every write, and with damaged bytes.
#include "buckthornrail/storage/log_store.hpp"
#include "support/failing_device.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::storage;
using test_support::device_fault;
using test_support::failing_device;

namespace {

constexpr std::array allFaults { device_fault::CrashBeforeWrite, device_fault::CrashHalfWritten,
    device_fault::CrashBeforeSync, device_fault::CrashAfterSync, device_fault::DiskFull };

agreement::effects entriesFrom(agreement::log_index first, std::size_t count, agreement::term_number term)
{
    agreement::effects effects;
    effects.hardState = agreement::hard_state { term, 1 };
    for (std::size_t i = 0; i < count; ++i)
        effects.appended.push_back(
            { term, first + i, agreement::entry_kind::Command, "c" + std::to_string(first + i), {} });
    return effects;
}

std::vector<std::string> commandsOf(const agreement::persistent_state& state)
{
    std::vector<std::string> commands;
    for (const auto& entry : state.entries)
        commands.push_back(entry.command);
    return commands;
}

} // namespace

TEST_CASE("log_store: every fault at every write leaves all acknowledged records and no partial one", "[storage]")
{
    for (const auto fault : allFaults) {
        for (int i = 0; i < 6; ++i) {
            failing_device device;
            log_store store(device);
            REQUIRE(store.loadIdentity(77));
            device.fault = fault;
            device.writesUntilFault = i;
            agreement::log_index acknowledged = 0;
            for (agreement::log_index first = 1; first < 20; first += 3) {
                if (!store.persist(entriesFrom(first, 3, first)))
                    break;
                acknowledged = first + 2;
            }
            device.restart();
            log_store after(device);
            CHECK(after.loadIdentity(99) == 77U);
            const auto state = after.load();
            REQUIRE(state);
            const std::size_t kept = state->entries.size();
            CHECK(kept >= acknowledged);
            CHECK(kept <= acknowledged + 3);
            CHECK(kept % 3 == 0);
            CHECK(state->hard.term == (kept == 0 ? 0 : kept - 2));
            CHECK(after.persist(entriesFrom(kept + 1, 1, 50)));
            CHECK(log_store(device).load()->entries.size() == kept + 1);
        }
    }
}

TEST_CASE("log_store: every fault at every write of a snapshot leaves the old or the new state", "[storage]")
{
    for (const auto fault : allFaults) {
        for (int i = 0; i < 3; ++i) {
            failing_device device;
            log_store store(device);
            REQUIRE(store.persist(entriesFrom(1, 10, 1)));
            device.fault = fault;
            device.writesUntilFault = i;
            const agreement::snapshot base { 8, 1, {}, "state" };
            const auto after = entriesFrom(9, 2, 1).appended;
            (void)store.saveSnapshot(base, { 1, 1 }, after);
            device.restart();
            const auto state = log_store(device).load();
            REQUIRE(state);
            CHECK(state->lastSnapshot.index + state->entries.size() == 10);
            CHECK((state->lastSnapshot.index == 0 || state->lastSnapshot.state == "state"));
        }
    }
}

TEST_CASE("log_store: an installed snapshot drops a log with a different history", "[storage]")
{
    failing_device device;
    log_store store(device);
    REQUIRE(store.persist(entriesFrom(1, 10, 1)));
    device.fault = device_fault::CrashBeforeWrite;
    device.writesUntilFault = 1; // the snapshot is written, the new log isn't
    agreement::effects installed;
    installed.installed = agreement::snapshot { 8, 5, {}, "other history" };
    CHECK_FALSE(store.persist(installed));
    device.restart();
    const auto state = log_store(device).load();
    REQUIRE(state);
    CHECK(state->lastSnapshot.index == 8);
    CHECK(state->entries.empty());
}

TEST_CASE("log_store: later entries replace earlier ones of the same index", "[storage]")
{
    failing_device device;
    log_store store(device);
    REQUIRE(store.persist(entriesFrom(1, 5, 1)));
    REQUIRE(store.persist(entriesFrom(3, 1, 2)));
    const auto state = log_store(device).load();
    REQUIRE(state);
    CHECK(commandsOf(*state) == std::vector<std::string> { "c1", "c2", "c3" });
    CHECK(state->entries.back().term == 2);
}

TEST_CASE("log_store: a record with a damaged byte is never read as data", "[storage][property]")
{
    rc::prop("one damaged byte", [] {
        failing_device device;
        log_store store(device);
        for (agreement::log_index first = 1; first < 10; ++first)
            RC_ASSERT(store.persist(entriesFrom(first, 1, 1)).has_value());
        auto& log = device.files["log"];
        const auto place = *rc::gen::inRange<std::size_t>(0, log.size());
        log[place] = static_cast<char>(log[place] ^ *rc::gen::inRange(1, 256));
        const auto state = log_store(device).load();
        if (!state) {
            RC_ASSERT(state.error().code == result_code::StorageCorrupt);
            return;
        }
        // Only a damaged last record is taken for a torn one. It is truncated, and the records before it remain.
        RC_ASSERT(state->entries.size() == 8U);
        for (std::size_t i = 0; i < state->entries.size(); ++i)
            RC_ASSERT(state->entries[i].command == "c" + std::to_string(i + 1));
    });
}

TEST_CASE("log_store: a log without its identity file is not taken for a new folder", "[storage]")
{
    failing_device device;
    log_store store(device);
    REQUIRE(store.loadIdentity(7));
    REQUIRE(store.persist(entriesFrom(1, 3, 1)));
    device.files.erase("identity");
    const auto identity = log_store(device).loadIdentity(8);
    REQUIRE_FALSE(identity);
    CHECK(identity.error().code == result_code::StorageCorrupt);
}

TEST_CASE("folder_device: appends, replaces and locks", "[storage]")
{
    const auto folder = std::filesystem::temp_directory_path() / "buckthornrail-folder-test";
    std::filesystem::remove_all(folder);
    {
        auto device = openFolder(folder.string());
        REQUIRE(device);
        CHECK_FALSE(openFolder(folder.string()));
        CHECK((*device)->read("log").value() == std::nullopt);
        REQUIRE((*device)->appendSynced("log", "ab"));
        REQUIRE((*device)->appendSynced("log", "cd"));
        CHECK((*device)->read("log").value() == "abcd");
        REQUIRE((*device)->replaceSynced("log", "x"));
        CHECK((*device)->read("log").value() == "x");
    }
    CHECK(openFolder(folder.string()));
    std::filesystem::remove_all(folder);
    CHECK(openFolder("/proc/nowhere").error().code == result_code::StorageFailed);
}
