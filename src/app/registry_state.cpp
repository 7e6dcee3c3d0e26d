/// @file
/// @brief Commands of the registry, and its snapshot.
#include "app/registry_state.hpp"

#include "buckthornrail/link/state_json.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

using nlohmann::json;

/// Gateways lag by one version as a rule; each text kept costs its size in memory.
constexpr std::size_t keptTexts = 3;

std::string toBytes(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

} // namespace

link::text_update makeTextUpdate(const versioned_text& held, const versioned_text& wanted)
{
    const std::string& from = held.text;
    const std::string& to = wanted.text;
    const auto front = std::mismatch(from.begin(), from.end(), to.begin(), to.end());
    const auto keptFront = static_cast<std::size_t>(front.first - from.begin());
    const std::size_t most = std::min(from.size(), to.size()) - keptFront;
    std::size_t keptBack = 0;
    while (keptBack < most && from[from.size() - 1 - keptBack] == to[to.size() - 1 - keptBack])
        ++keptBack;
    return { held.version, wanted.version, keptFront, keptBack,
        to.substr(keptFront, to.size() - keptFront - keptBack) };
}

bool applyTextUpdate(versioned_text& held, const link::text_update& update)
{
    if (update.to <= held.version)
        return true;
    if (update.from == 0) {
        held = { update.to, update.middle };
        return true;
    }
    const bool fits = update.from == held.version && update.keptFront + update.keptBack <= held.text.size();
    if (!fits)
        return false;
    held.text
        = held.text.substr(0, update.keptFront) + update.middle + held.text.substr(held.text.size() - update.keptBack);
    held.version = update.to;
    return true;
}

std::string registry_state::applyCommand(const std::string& bytes)
{
    const json command = json::from_cbor(bytes, true, false);
    if (command.is_discarded() || !command.is_object())
        return {};
    try {
        if (command.contains("text"))
            publish(command.at("version").get<std::uint64_t>(), command.at("text").get<std::string>());
        if (command.contains("targets")) {
            for (const auto& record : command.at("targets").get<std::vector<registry::target_record>>())
                m_targets.apply(record);
        }
        return command.at("id").get<std::string>();
    } catch (const std::exception&) {
        return {}; // the caller logs that the command can't be read
    }
}

void registry_state::publish(std::uint64_t version, std::string text)
{
    if (version <= m_document.version)
        return;
    if (m_document.version != 0)
        m_earlier.push_back(std::move(m_document));
    if (m_earlier.size() > keptTexts)
        m_earlier.pop_front();
    m_document = { version, std::move(text) };
}

std::string registry_state::saveState() const
{
    std::vector<registry::target_record> records;
    for (const auto& [id, record] : m_targets.records())
        records.push_back(record);
    return toBytes({ { "version", m_document.version }, { "text", m_document.text }, { "targets", records },
        { "revision", m_targets.revision() }, { "pruned", m_targets.prunedRevision() } });
}

tl::expected<void, failure> registry_state::restoreState(const std::string& bytes)
{
    m_document = {};
    m_earlier.clear();
    m_targets = {};
    if (bytes.empty())
        return {};
    try {
        const json whole = json::from_cbor(bytes);
        m_document = { whole.at("version").get<std::uint64_t>(), whole.at("text").get<std::string>() };
        m_targets.restore(whole.at("targets").get<std::vector<registry::target_record>>(),
            whole.at("revision").get<std::uint64_t>(), whole.at("pruned").get<std::uint64_t>());
    } catch (const std::exception& fault) {
        return tl::make_unexpected(failure { result_code::StorageCorrupt, fault.what() });
    }
    return {};
}

std::vector<link::text_update> registry_state::documentUpdate(std::uint64_t held) const
{
    if (held >= m_document.version)
        return {};
    for (const auto& earlier : m_earlier) {
        if (earlier.version == held)
            return { makeTextUpdate(earlier, m_document) };
    }
    return { { 0, m_document.version, 0, 0, m_document.text } };
}

std::string encodePublish(const std::string& id, const versioned_text& document)
{
    return toBytes({ { "id", id }, { "version", document.version }, { "text", document.text } });
}

std::string encodeTargets(const std::string& id, const std::vector<registry::target_record>& records)
{
    return toBytes({ { "id", id }, { "targets", records } });
}

} // namespace buckthornrail::app
