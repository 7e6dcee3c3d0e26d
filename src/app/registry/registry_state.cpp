/// @file
/// @brief Commands and snapshots of the registry.
#include "app/registry/registry_state.hpp"

#include "buckthornrail/compression/text_patch.hpp"
#include "buckthornrail/link/state_json.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

using nlohmann::json;

/// Gateways usually lag by one version, and by a few when changes come in quick succession. Each stored document takes
/// a tenth of its size in memory.
constexpr std::size_t maxEarlierDocuments = 6;
/// Largest document: the size limit of a message between processes.
constexpr std::size_t maxDocumentBytes = 32U << 20U;
/// Largest decompressed update of the target table; 3,000 targets take 0.8 MB.
constexpr std::size_t maxTargetsUpdateBytes = maxDocumentBytes;

std::string toBytes(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

/// Reads the document of a command or a snapshot. Logs and snapshots of earlier versions hold the uncompressed text.
/// @throw json::exception or bad_expected_access when it is missing or damaged
versioned_text readText(const json& from)
{
    const auto version = from.at("version").get<std::uint64_t>();
    if (from.contains("text"))
        return { version, from.at("text").get<std::string>() };
    return { version,
        compression::applyPatch({}, from.at("patch").get_ref<const std::string&>(), maxDocumentBytes).value() };
}

} // namespace

tl::expected<void, failure> applyTextUpdate(versioned_text& held, const link::text_update& update)
{
    if (update.to <= held.version)
        return {};
    if (update.from != 0 && update.from != held.version) {
        return tl::make_unexpected(failure { result_code::MalformedMessage,
            "the update applies to version " + std::to_string(update.from) + ", held is version "
                + std::to_string(held.version) });
    }
    auto text = compression::applyPatch(
        update.from == 0 ? std::string_view() : std::string_view(held.text), update.patch, maxDocumentBytes);
    if (!text)
        return tl::make_unexpected(text.error());
    held = { update.to, std::move(*text) };
    return {};
}

tl::expected<registry::target_delta, failure> readTargetsUpdate(const link::text_update& update)
{
    const auto bytes = compression::applyPatch({}, update.patch, maxTargetsUpdateBytes);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    return link::decodeDelta(*bytes);
}

std::string registry_state::applyCommand(const std::string& bytes)
{
    try {
        // With exceptions disabled the parser would still throw for a size that exceeds the memory.
        const json command = json::from_cbor(bytes);
        if (command.contains("version")) {
            auto read = readText(command);
            publish(read.version, std::move(read.text));
        }
        if (command.contains("targets")) {
            for (const auto& record : command.at("targets").get<std::vector<registry::target_record>>())
                m_targets.apply(record);
        }
        if (command.contains("quarantine"))
            m_quarantine.apply(command.at("quarantine").get<registry::quarantine_change>());
        return command.at("id").get<std::string>();
    } catch (const std::exception&) {
        return {}; // the caller logs that the command is unreadable
    }
}

void registry_state::publish(std::uint64_t version, std::string text)
{
    if (version <= m_document.version)
        return;
    if (m_document.version != 0)
        m_earlierDocuments.push_back({ m_document.version, compression::makePatch({}, m_document.text) });
    m_patches.clear();
    if (m_earlierDocuments.size() > maxEarlierDocuments)
        m_earlierDocuments.pop_front();
    m_document = { version, std::move(text) };
}

std::string registry_state::saveState() const
{
    std::vector<registry::target_record> records;
    for (const auto& [id, record] : m_targets.records())
        records.push_back(record);
    json quarantined = json::array();
    for (const auto& [fingerprint, entry] : m_quarantine.entries())
        quarantined.push_back({ fingerprint, entry });
    return toBytes({ { "version", m_document.version }, { "patch", compression::makePatch({}, m_document.text) },
        { "targets", records }, { "revision", m_targets.revision() }, { "pruned", m_targets.prunedRevision() },
        { "quarantine", quarantined }, { "quarantineRevision", m_quarantine.revision() } });
}

tl::expected<void, failure> registry_state::restoreState(const std::string& bytes)
{
    m_document = {};
    m_earlierDocuments.clear();
    m_patches.clear();
    m_targets = {};
    m_targetUpdates.clear();
    m_quarantine = registry::quarantine_table();
    if (bytes.empty())
        return {};
    try {
        const json snapshot = json::from_cbor(bytes);
        m_document = readText(snapshot);
        m_targets.restore(snapshot.at("targets").get<std::vector<registry::target_record>>(),
            snapshot.at("revision").get<std::uint64_t>(), snapshot.at("pruned").get<std::uint64_t>());
        std::map<request_fingerprint, registry::quarantine_entry> quarantined;
        for (const auto& row : snapshot.value("quarantine", json::array()))
            quarantined[row.at(0).get<request_fingerprint>()] = row.at(1).get<registry::quarantine_entry>();
        m_quarantine.restore(std::move(quarantined), snapshot.value("quarantineRevision", std::uint64_t { 0 }));
    } catch (const std::exception& error) {
        return tl::make_unexpected(failure { result_code::StorageCorrupt, error.what() });
    }
    return {};
}

std::vector<link::text_update> registry_state::documentUpdate(std::uint64_t held)
{
    if (held >= m_document.version)
        return {};
    const auto earlier = std::find_if(m_earlierDocuments.begin(), m_earlierDocuments.end(),
        [held](const auto& document) { return document.version == held; });
    const std::uint64_t from = earlier == m_earlierDocuments.end() ? 0 : held;
    auto cached = m_patches.find(from);
    if (cached == m_patches.end()) {
        std::string base;
        if (from != 0)
            base = compression::applyPatch({}, earlier->patch, maxDocumentBytes).value();
        cached = m_patches.emplace(from, compression::makePatch(base, m_document.text)).first;
    }
    return { { from, m_document.version, cached->second } };
}

std::vector<link::text_update> registry_state::targetsUpdate(std::uint64_t held)
{
    if (held == m_targets.revision())
        return {};
    if (m_targetUpdatesRevision != m_targets.revision())
        m_targetUpdates.clear();
    m_targetUpdatesRevision = m_targets.revision();
    auto cached = m_targetUpdates.find(held);
    if (cached == m_targetUpdates.end()) {
        const auto delta = m_targets.changesSince(held);
        std::string patch = compression::makePatch({}, link::encodeDelta(delta));
        cached = m_targetUpdates.emplace(held, link::text_update { delta.from, delta.to, std::move(patch) }).first;
    }
    return { cached->second };
}

std::string encodePublish(const std::string& id, const versioned_text& document)
{
    return toBytes(
        { { "id", id }, { "version", document.version }, { "patch", compression::makePatch({}, document.text) } });
}

std::string encodeTargets(const std::string& id, const std::vector<registry::target_record>& records)
{
    return toBytes({ { "id", id }, { "targets", records } });
}

std::string encodeQuarantine(const std::string& id, const registry::quarantine_change& change)
{
    return toBytes({ { "id", id }, { "quarantine", change } });
}

} // namespace buckthornrail::app
