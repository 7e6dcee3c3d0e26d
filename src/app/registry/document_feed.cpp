/// @file
/// @brief Splits the document into slices, compares versions and encodes the changes.
#include "app/registry/document_feed.hpp"

#include "buckthornrail/compression/text_patch.hpp"
#include "buckthornrail/telemetry/log.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Gateways usually lag by one version, and by a few when changes come in quick succession.
constexpr std::size_t maxChanges = 8;
/// Largest decompressed slice: the size limit of a message between processes.
constexpr std::size_t maxSliceBytes = 32U << 20U;

std::vector<std::string> encodeAll(const std::vector<document::change_slice>& slices)
{
    std::vector<std::string> messages;
    messages.reserve(slices.size());
    for (const auto& slice : slices)
        messages.push_back(link::encode(link::message(packSlice(slice))));
    return messages;
}

} // namespace

link::document_slice packSlice(const document::change_slice& slice)
{
    return { slice.from, slice.to, slice.number, slice.count, slice.digest,
        compression::makePatch({}, link::encodeChange(slice.part)) };
}

tl::expected<document::change_slice, failure> unpackSlice(const link::document_slice& packed)
{
    const auto bytes = compression::applyPatch({}, packed.patch, maxSliceBytes);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    auto part = link::decodeChange(*bytes);
    if (!part)
        return tl::make_unexpected(part.error());
    return document::change_slice { packed.from, packed.to, packed.number, packed.count, packed.digest,
        std::move(*part) };
}

void document_feed::update(const versioned_text& committed)
{
    if (committed.version == m_changeTracker.version())
        return;
    const auto outline = m_dialect.splitDocument(committed.text);
    if (!outline) {
        telemetry::logEvent(event_code::ConfigurationRejected,
            { { "version", std::to_string(committed.version) }, { "reason", outline.error().reason } },
            telemetry::severity::Error);
        return;
    }
    readRest(outline->rest);
    const std::uint64_t from = m_changeTracker.version();
    auto messages = encodeAll(m_changeTracker.advanceTo(*outline));
    if (from == 0) {
        m_fullDocument = std::move(messages);
        return;
    }
    m_fullDocument.clear();
    m_changes.push_back({ from, std::move(messages) });
    if (m_changes.size() > maxChanges)
        m_changes.pop_front();
}

void document_feed::readRest(const std::string& rest)
{
    if (rest == m_restText)
        return;
    auto read = m_dialect.readRest(rest);
    if (!read) {
        telemetry::logEvent(
            event_code::ConfigurationRejected, { { "reason", read.error().reason } }, telemetry::severity::Error);
        return;
    }
    m_rest = std::move(*read);
    m_restText = rest;
}

std::vector<const std::string*> document_feed::messagesFrom(std::uint64_t held, const versioned_text& newest)
{
    std::vector<const std::string*> messages;
    if (held >= m_changeTracker.version())
        return messages;
    auto next = std::find_if(
        m_changes.begin(), m_changes.end(), [held](const version_change& change) { return change.from == held; });
    if (next != m_changes.end() && held != 0) {
        for (; next != m_changes.end(); ++next) {
            for (const auto& message : next->messages)
                messages.push_back(&message);
        }
        return messages;
    }
    if (m_fullDocument.empty()) {
        if (const auto outline = m_dialect.splitDocument(newest.text))
            m_fullDocument = encodeAll(document::slicesOf(*outline));
    }
    for (const auto& message : m_fullDocument)
        messages.push_back(&message);
    return messages;
}

} // namespace buckthornrail::app
