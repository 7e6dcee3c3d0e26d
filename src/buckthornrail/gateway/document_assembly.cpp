/// @file
/// @brief Decoding of document slices.
#include "buckthornrail/gateway/document_assembly.hpp"

#include <iterator>

namespace buckthornrail::gateway {
namespace {

using document::entry_hash;

tl::unexpected<failure> outOfOrder(const document::change_slice& slice)
{
    return tl::make_unexpected(failure { result_code::MalformedMessage,
        "slice " + std::to_string(slice.number) + " of version " + std::to_string(slice.to) + " is out of order" });
}

/// @brief Decodes entries of one kind. @param read function of the dialect that decodes one
template <typename Entry>
tl::expected<void, failure> decodeEntries(const control_dialect& dialect,
    tl::expected<Entry, failure> (control_dialect::*read)(const std::string&) const,
    const std::vector<std::string>& texts, std::vector<decoded_entry<Entry>>& decoded)
{
    for (const auto& text : texts) {
        auto entry = (dialect.*read)(text);
        if (!entry)
            return tl::make_unexpected(entry.error());
        decoded.push_back({ document::hashOf(text), std::make_shared<const Entry>(std::move(*entry)) });
    }
    return {};
}

void appendAll(std::vector<entry_hash>& all, const std::vector<entry_hash>& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

} // namespace

bool document_assembly::isNext(const document::change_slice& slice) const
{
    if (slice.number != m_next || slice.number >= slice.count)
        return false;
    const auto& partial = m_partial.change;
    return m_next == 0 || (slice.from == partial.from && slice.to == partial.to && slice.digest == partial.digest);
}

tl::expected<void, failure> document_assembly::addSlice(const document::change_slice& slice)
{
    if (!isNext(slice)) {
        discard();
        return outOfOrder(slice);
    }
    if (m_next == 0) {
        m_partial = {};
        m_partial.change.from = slice.from;
        m_partial.change.to = slice.to;
        m_partial.change.digest = slice.digest;
        m_isSkipped = false;
        if (slice.from == 0)
            m_partial.whole = std::make_shared<route_index>();
    }
    tl::expected<void, failure> decoded;
    if (!m_isSkipped)
        decoded = decode(slice.part);
    m_isSkipped = m_isSkipped || !decoded;
    m_next = slice.number + 1 == slice.count ? 0 : m_next + 1;
    if (m_next == 0 && !m_isSkipped)
        m_completed.push_back(std::move(m_partial));
    if (m_next == 0)
        m_partial = {};
    return decoded;
}

tl::expected<void, failure> document_assembly::decode(const document::change& part)
{
    decoded_change slice;
    if (auto read = decodeEntries(m_dialect, &control_dialect::readRoute, part.routes.added, slice.routes); !read)
        return read;
    if (auto read = decodeEntries(m_dialect, &control_dialect::readWorkspace, part.workspaces.added, slice.workspaces);
        !read)
        return read;
    if (!part.rest.empty()) {
        auto rest = m_dialect.readRest(part.rest);
        if (!rest)
            return tl::make_unexpected(rest.error());
        slice.rest = std::make_shared<const document_rest>(std::move(*rest));
        slice.restHash = document::hashOf(part.rest);
    }
    if (m_partial.whole) {
        m_partial.whole->addEntries(slice);
        return {};
    }
    auto& change = m_partial.change;
    appendAll(change.removedRoutes, part.routes.removed);
    appendAll(change.removedWorkspaces, part.workspaces.removed);
    std::move(slice.routes.begin(), slice.routes.end(), std::back_inserter(change.routes));
    std::move(slice.workspaces.begin(), slice.workspaces.end(), std::back_inserter(change.workspaces));
    if (slice.rest) {
        change.rest = slice.rest;
        change.restHash = slice.restHash;
    }
    return {};
}

std::vector<completed_change> document_assembly::takeCompleted() { return std::exchange(m_completed, {}); }

void document_assembly::discard()
{
    m_completed.clear();
    m_partial = {};
    m_next = 0;
    m_isSkipped = false;
}

} // namespace buckthornrail::gateway
