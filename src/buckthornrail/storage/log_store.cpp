/// @file
/// @brief Files of the replicated log.
///
/// Layout of a record: magic (4 bytes), length of the payload (4), xxHash64 of the payload (8), payload (CBOR). Numbers
/// are in the machine's byte order.
#include "buckthornrail/storage/log_store.hpp"

#include "buckthornrail/link/agreement_json.hpp"

#include <cstring>
#include <xxhash.h>

namespace buckthornrail::storage {
namespace {

using nlohmann::json;

constexpr const char* identityFile = "identity";
constexpr const char* snapshotFile = "snapshot";
constexpr const char* logFile = "log";
constexpr std::uint32_t recordMagic = 0x4252'4c31; // "BRL1"
constexpr std::size_t headerSize = 16; ///< in bytes

std::string frameRecord(const json& payload)
{
    std::string body;
    json::to_cbor(payload, body);
    const auto length = static_cast<std::uint32_t>(body.size());
    const std::uint64_t digest = XXH64(body.data(), body.size(), length);
    std::string record(headerSize, '\0');
    std::memcpy(record.data(), &recordMagic, sizeof recordMagic);
    std::memcpy(record.data() + 4, &length, sizeof length);
    std::memcpy(record.data() + 8, &digest, sizeof digest);
    return record + body;
}

/// @return the payload and the offset after it; nothing when there is no intact record at the offset
std::optional<std::pair<json, std::size_t>> readRecord(const std::string& bytes, std::size_t offset)
{
    if (bytes.size() < offset + headerSize)
        return std::nullopt;
    std::uint32_t magic = 0;
    std::uint32_t length = 0;
    std::uint64_t digest = 0;
    std::memcpy(&magic, bytes.data() + offset, sizeof magic);
    std::memcpy(&length, bytes.data() + offset + 4, sizeof length);
    std::memcpy(&digest, bytes.data() + offset + 8, sizeof digest);
    const std::size_t start = offset + headerSize;
    if (magic != recordMagic || bytes.size() - start < length)
        return std::nullopt;
    if (XXH64(bytes.data() + start, length, length) != digest)
        return std::nullopt;
    const auto first = bytes.begin() + static_cast<std::ptrdiff_t>(start);
    json payload = json::from_cbor(first, first + length, true, false);
    if (payload.is_discarded())
        return std::nullopt;
    return std::pair { std::move(payload), start + length };
}

/// @return whether an intact record follows anywhere after the offset
bool hasIntactRecordAfter(const std::string& bytes, std::size_t offset)
{
    const std::string magic(reinterpret_cast<const char*>(&recordMagic), sizeof recordMagic);
    for (std::size_t position = bytes.find(magic, offset + 1); position != std::string::npos;
         position = bytes.find(magic, position + 1)) {
        if (readRecord(bytes, position))
            return true;
    }
    return false;
}

tl::unexpected<failure> corruptionFailure(const std::string& reason)
{
    return tl::make_unexpected(failure { result_code::StorageCorrupt, reason });
}

/// Rebuilds the log from its records, in the order in which they were written.
class log_replay {
public:
    explicit log_replay(agreement::persistent_state& state)
        : m_state(state)
    {
    }

    /// @return false when there is a gap before the record's entries
    bool apply(const json& record)
    {
        if (record.contains("hard"))
            m_state.hard = record.at("hard").get<agreement::hard_state>();
        if (!record.contains("entries"))
            return true;
        for (const auto& row : record.at("entries")) {
            if (!append(row.get<agreement::log_entry>()))
                return false;
        }
        return true;
    }

    /// @brief Drops entries that don't continue the snapshot, as after a crash between the writes of the two files.
    void finish()
    {
        if (m_isDiverged)
            m_state.entries.clear();
    }

private:
    bool append(agreement::log_entry entry)
    {
        const auto& snapshot = m_state.lastSnapshot;
        if (entry.index <= snapshot.index) {
            m_state.entries.clear(); // an entry replaces all that follow it
            m_isDiverged = entry.index == snapshot.index && entry.term != snapshot.term;
            return true;
        }
        const std::size_t position = entry.index - snapshot.index - 1;
        if (position > m_state.entries.size())
            return false;
        m_state.entries.resize(position);
        m_state.entries.push_back(std::move(entry));
        return true;
    }

    agreement::persistent_state& m_state;
    bool m_isDiverged = false;
};

} // namespace

tl::expected<agreement::member_id, failure> log_store::loadIdentity(agreement::member_id newId)
{
    auto bytes = m_device.read(identityFile);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    if (!bytes->has_value()) {
        auto log = m_device.read(logFile);
        if (log && log->has_value())
            return corruptionFailure("the identity file is missing although a log exists");
        if (auto saved = m_device.replaceSynced(identityFile, frameRecord(json { { "member", newId } })); !saved)
            return tl::make_unexpected(saved.error());
        return newId;
    }
    const auto record = readRecord(**bytes, 0);
    if (!record || !record->first.contains("member"))
        return corruptionFailure("the identity file is damaged");
    return record->first.at("member").get<agreement::member_id>();
}

tl::expected<agreement::persistent_state, failure> log_store::load()
{
    agreement::persistent_state state;
    auto snapshotBytes = m_device.read(snapshotFile);
    auto logBytes = m_device.read(logFile);
    if (!snapshotBytes)
        return tl::make_unexpected(snapshotBytes.error());
    if (!logBytes)
        return tl::make_unexpected(logBytes.error());
    try {
        if (snapshotBytes->has_value()) {
            const auto record = readRecord(**snapshotBytes, 0);
            if (!record)
                return corruptionFailure("the snapshot file is damaged");
            state.lastSnapshot = record->first.get<agreement::snapshot>();
        }
        const std::string& log = logBytes->has_value() ? **logBytes : std::string();
        std::size_t offset = 0;
        log_replay replay(state);
        while (offset < log.size()) {
            const auto record = readRecord(log, offset);
            if (!record)
                break;
            if (!replay.apply(record->first))
                return corruptionFailure("the log has a gap at offset " + std::to_string(offset));
            offset = record->second;
        }
        replay.finish();
        if (offset < log.size()) {
            if (hasIntactRecordAfter(log, offset))
                return corruptionFailure("the log has a damaged record at offset " + std::to_string(offset));
            if (auto truncated = m_device.replaceSynced(logFile, log.substr(0, offset)); !truncated)
                return tl::make_unexpected(truncated.error());
        }
    } catch (const json::exception& error) {
        return corruptionFailure(std::string("a record cannot be decoded: ") + error.what());
    }
    m_hard = state.hard;
    return state;
}

tl::expected<void, failure> log_store::persist(const agreement::effects& effects)
{
    if (effects.hardState)
        m_hard = *effects.hardState;
    if (effects.installed)
        return saveSnapshot(*effects.installed, m_hard, effects.appended);
    json record = json::object();
    if (effects.hardState)
        record["hard"] = *effects.hardState;
    if (!effects.appended.empty())
        record["entries"] = effects.appended;
    if (record.empty())
        return {};
    return m_device.appendSynced(logFile, frameRecord(record));
}

tl::expected<void, failure> log_store::probe() { return m_device.appendSynced(logFile, frameRecord(json::object())); }

tl::expected<void, failure> log_store::saveSnapshot(const agreement::snapshot& snapshot,
    const agreement::hard_state& hard, const std::vector<agreement::log_entry>& entriesAfter)
{
    m_hard = hard;
    // The snapshot is written first: load() handles an old log with a newer snapshot, but with an old snapshot and a
    // new log it would find a gap.
    if (auto saved = m_device.replaceSynced(snapshotFile, frameRecord(json(snapshot))); !saved)
        return saved;
    return m_device.replaceSynced(logFile, frameRecord(json { { "hard", hard }, { "entries", entriesAfter } }));
}

} // namespace buckthornrail::storage
