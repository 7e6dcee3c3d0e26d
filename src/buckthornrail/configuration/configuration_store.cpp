/// @file
/// @brief Applies changes to the configuration and builds deltas between its versions.
#include "buckthornrail/configuration/configuration_store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace buckthornrail::configuration {
namespace {

using nlohmann::json;

constexpr std::size_t maxHistory = 256; ///< accepted changes that are stored, for deltas and for the operators' history
constexpr std::size_t maxResults = 4096; ///< results that are stored for resent changes

} // namespace

std::string makePatch(const std::string& from, const std::string& to)
{
    return json::diff(json::parse(from), json::parse(to)).dump();
}

change_result configuration_store::apply(const change_command& change)
{
    if (auto known = resultOf(change.changeId))
        return *known;
    change_result result { change.changeId, result_code::Ok, "", m_state.version };
    if (change.base != m_state.version) {
        result.code = result_code::VersionConflict;
        result.reason = "the change is based on version " + std::to_string(change.base) + ", version "
            + std::to_string(m_state.version) + " is current";
        return recordResult(std::move(result));
    }
    if (auto patched = m_tree.patchAndValidate(change.patch); !patched) {
        result.code = patched.error().code;
        result.reason = patched.error().reason;
        return recordResult(std::move(result));
    }
    m_text.clear();
    result.version = ++m_state.version;
    m_state.history.push_back({ m_state.version, change.changeId, change.author, change.wallSeconds, change.patch });
    if (m_state.history.size() > maxHistory)
        m_state.history.erase(m_state.history.begin());
    return recordResult(std::move(result));
}

std::optional<change_result> configuration_store::resultOf(const std::string& changeId) const
{
    for (auto result = m_state.results.rbegin(); result != m_state.results.rend(); ++result) {
        if (result->changeId == changeId)
            return *result;
    }
    return std::nullopt;
}

std::optional<configuration_update> configuration_store::updateFor(configuration_version receiverVersion) const
{
    if (receiverVersion == m_state.version)
        return std::nullopt;
    const bool isInHistory = receiverVersion != 0 && receiverVersion < m_state.version && !m_state.history.empty()
        && m_state.history.front().version <= receiverVersion + 1;
    if (!isInHistory)
        return configuration_update { 0, m_state.version, text() };
    std::string operations;
    for (const auto& record : m_state.history) {
        const std::string patchOperations
            = record.patch.substr(1, record.patch.size() - 2); // without the brackets of the array
        if (record.version > receiverVersion && !patchOperations.empty())
            operations += (operations.empty() ? "" : ",") + patchOperations;
    }
    return configuration_update { receiverVersion, m_state.version, "[" + operations + "]" };
}

const std::string& configuration_store::text() const
{
    if (m_text.empty())
        m_text = m_tree.text();
    return m_text;
}

store_state configuration_store::state() const
{
    store_state state = m_state;
    state.text = text();
    return state;
}

tl::expected<void, failure> configuration_store::restore(store_state state)
{
    if (auto read = m_tree.assign(state.text); !read)
        return read;
    state.text.clear();
    m_state = std::move(state);
    m_text.clear();
    return {};
}

change_result configuration_store::recordResult(change_result result)
{
    m_state.results.push_back(result);
    if (m_state.results.size() > maxResults)
        m_state.results.erase(m_state.results.begin());
    return result;
}

tl::expected<bool, failure> configuration_view::apply(const configuration_update& update)
{
    if (update.to <= m_version)
        return false;
    if (update.from != 0 && update.from != m_version)
        return tl::make_unexpected(failure { result_code::VersionConflict,
            "a delta from version " + std::to_string(update.from) + " can't be applied to version "
                + std::to_string(m_version) });
    auto applied = update.from == 0 ? m_tree.assign(update.text) : m_tree.patchPrevalidated(update.text);
    if (!applied)
        return tl::make_unexpected(applied.error());
    m_version = update.to;
    return true;
}

} // namespace buckthornrail::configuration
