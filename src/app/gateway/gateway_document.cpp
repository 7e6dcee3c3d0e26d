/// @file
/// @brief Decoding and activating changes of the document.
#include "app/gateway/gateway_document.hpp"

namespace buckthornrail::app {

tl::expected<void, failure> gateway_document::add(const link::document_slice& slice)
{
    m_text = {};
    const auto unpacked = unpackSlice(slice);
    if (!unpacked)
        return tl::make_unexpected(unpacked.error());
    auto result = m_assembly.addSlice(*unpacked);
    if (result || result.error().code != result_code::InvalidDocument)
        return result;
    logUnreadable(slice.to, result.error());
    m_needsFullDocument = true;
    return {};
}

tl::expected<void, failure> gateway_document::add(const link::text_update& update)
{
    if (auto applied = applyTextUpdate(m_text, update); !applied)
        return applied;
    if (m_text.version <= version())
        return {};
    const auto outline = m_dialect.splitDocument(m_text.text);
    if (!outline) {
        logUnreadable(m_text.version, outline.error());
        return {};
    }
    for (const auto& slice : document::slicesOf(*outline)) {
        const auto result = m_assembly.addSlice(slice);
        if (!result)
            logUnreadable(m_text.version, result.error());
    }
    return {};
}

tl::expected<bool, failure> gateway_document::activate()
{
    bool isChanged = false;
    for (auto& finished : m_assembly.takeCompleted()) {
        if (finished.change.to <= version())
            continue; // sent before the controller knew the active version
        if (const auto activated = activate(std::move(finished)); !activated) {
            m_needsFullDocument = true;
            return tl::make_unexpected(activated.error());
        }
        isChanged = true;
    }
    return isChanged;
}

tl::expected<void, failure> gateway_document::activate(gateway::completed_change finished)
{
    if (!finished.whole) {
        if (m_index)
            return m_index->apply(finished.change);
        return tl::make_unexpected(
            failure { result_code::MalformedMessage, "change received, but there is no active document" });
    }
    if (auto sealed = finished.whole->finalize(finished.change.to, finished.change.digest); !sealed)
        return sealed;
    m_index = std::move(finished.whole);
    m_needsFullDocument = false;
    return {};
}

void gateway_document::logUnreadable(std::uint64_t version, const failure& error)
{
    telemetry::logEvent(event_code::ConfigurationRejected,
        { { "version", std::to_string(version) }, { "reason", error.reason } }, telemetry::severity::Error);
}

} // namespace buckthornrail::app
