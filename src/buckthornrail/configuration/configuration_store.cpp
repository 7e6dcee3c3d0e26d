/// @file
/// @brief Versions of the configuration.
#include "buckthornrail/configuration/configuration_store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace buckthornrail::configuration {
namespace {

using nlohmann::json;

constexpr std::size_t maxHistory = 256; ///< versions that a delta can start from
constexpr std::size_t maxResults = 4096; ///< change ids whose answer is kept

} // namespace

std::string makePatch(const std::string& from, const std::string& to)
{
    return json::diff(json::parse(from), json::parse(to)).dump();
}

tl::expected<std::string, failure> applyPatch(const std::string& text, const std::string& patch)
{
    try {
        return json::parse(text).patch(json::parse(patch)).dump();
    } catch (const json::exception& fault) {
        return tl::make_unexpected(
            failure { result_code::InvalidDocument, std::string("the patch doesn't fit: ") + fault.what() });
    }
}

configuration_store::configuration_store() { m_state.text = formatDocument(m_document); }

change_result configuration_store::apply(const change_command& change)
{
    if (auto known = resultOf(change.changeId))
        return *known;
    change_result result { change.changeId, result_code::Ok, "", m_state.version };
    if (change.base != m_state.version) {
        result.code = result_code::VersionConflict;
        result.reason = "the change is based on version " + std::to_string(change.base) + ", version "
            + std::to_string(m_state.version) + " is current";
        return remember(std::move(result));
    }
    const auto text = applyPatch(m_state.text, change.patch);
    const auto parsed = text ? parseDocument(*text) : tl::make_unexpected(text.error());
    if (!parsed) {
        result.code = parsed.error().code;
        result.reason = parsed.error().reason;
        return remember(std::move(result));
    }
    m_document = *parsed;
    m_state.text = *text;
    result.version = ++m_state.version;
    m_state.history.push_back({ m_state.version, change.changeId, change.author, change.wallSeconds, change.patch });
    if (m_state.history.size() > maxHistory)
        m_state.history.erase(m_state.history.begin());
    return remember(std::move(result));
}

std::optional<change_result> configuration_store::resultOf(const std::string& changeId) const
{
    for (auto at = m_state.results.rbegin(); at != m_state.results.rend(); ++at) {
        if (at->changeId == changeId)
            return *at;
    }
    return std::nullopt;
}

std::optional<configuration_update> configuration_store::updateFor(configuration_version held) const
{
    if (held == m_state.version)
        return std::nullopt;
    const bool reaches = held != 0 && held < m_state.version && !m_state.history.empty()
        && m_state.history.front().version <= held + 1;
    if (!reaches)
        return configuration_update { 0, m_state.version, m_state.text };
    json steps = json::array();
    for (const auto& record : m_state.history) {
        if (record.version <= held)
            continue;
        for (auto& step : json::parse(record.patch))
            steps.push_back(std::move(step));
    }
    std::string patch = steps.dump();
    if (patch.size() >= m_state.text.size())
        return configuration_update { 0, m_state.version, m_state.text };
    return configuration_update { held, m_state.version, std::move(patch) };
}

tl::expected<void, failure> configuration_store::restore(store_state state)
{
    auto parsed = parseDocument(state.text);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    m_document = std::move(*parsed);
    m_state = std::move(state);
    return {};
}

change_result configuration_store::remember(change_result result)
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
            "a delta from version " + std::to_string(update.from) + " doesn't fit version "
                + std::to_string(m_version) });
    auto text = update.from == 0 ? update.text : applyPatch(m_text, update.text);
    if (!text)
        return tl::make_unexpected(text.error());
    auto parsed = parseDocument(*text);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    m_text = std::move(*text);
    m_document = std::move(*parsed);
    m_version = update.to;
    return true;
}

} // namespace buckthornrail::configuration
