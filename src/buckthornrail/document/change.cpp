/// @file
/// @brief Comparison of versions by the hashes of their entries.
#include "buckthornrail/document/change.hpp"

#include <algorithm>
#include <iterator>
#include <xxhash.h>

namespace buckthornrail::document {
namespace {

/// Bytes of added text per slice; a single longer entry still forms a slice. A receiver with a tenth of a core decodes
/// this much within 20 ms.
constexpr std::size_t maxAddedBytes = 24U << 10U;
/// Hashes of removed entries per slice; the receiver looks up each of them.
constexpr std::size_t maxRemovedHashes = 2000;

/// @brief Hashes of entries, sorted and without duplicates.
std::vector<entry_hash> hashesOf(const std::vector<std::string_view>& entries)
{
    std::vector<entry_hash> hashes;
    hashes.reserve(entries.size());
    for (const auto entry : entries)
        hashes.push_back(hashOf(entry));
    std::sort(hashes.begin(), hashes.end());
    hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
    return hashes;
}

entry_changes changesBetween(const std::vector<entry_hash>& before, const std::vector<entry_hash>& after,
    const std::vector<std::string_view>& entries)
{
    entry_changes changes;
    std::set_difference(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(changes.removed));
    std::vector<entry_hash> addedHashes;
    std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(addedHashes));
    if (addedHashes.empty())
        return changes;
    std::vector<bool> isAdded(addedHashes.size(), false); // entries with the same text count as one
    for (const auto entry : entries) {
        const entry_hash hash = hashOf(entry);
        const auto found = std::lower_bound(addedHashes.begin(), addedHashes.end(), hash);
        if (found == addedHashes.end() || *found != hash)
            continue;
        const auto position = static_cast<std::size_t>(found - addedHashes.begin());
        if (isAdded[position])
            continue;
        isAdded[position] = true;
        changes.added.emplace_back(entry);
    }
    return changes;
}

std::uint64_t digestOf(
    const std::vector<entry_hash>& routes, const std::vector<entry_hash>& workspaces, entry_hash rest)
{
    content_digest digest;
    for (const auto hash : routes)
        digest.add(hash);
    for (const auto hash : workspaces)
        digest.add(hash);
    digest.add(rest);
    return digest.sum();
}

/// Distributes a change over slices within the limits above.
class slicer {
public:
    explicit slicer(change_slice head)
        : m_slices { std::move(head) }
    {
    }

    void append(const entry_changes& changes, entry_changes change::*kind)
    {
        for (const auto removed : changes.removed) {
            if (m_removed == maxRemovedHashes)
                startSlice();
            ++m_removed;
            (m_slices.back().part.*kind).removed.push_back(removed);
        }
        for (const auto& added : changes.added) {
            if (m_addedBytes > 0 && m_addedBytes + added.size() > maxAddedBytes)
                startSlice();
            m_addedBytes += added.size();
            (m_slices.back().part.*kind).added.push_back(added);
        }
    }

    std::vector<change_slice> take()
    {
        std::uint32_t number = 0;
        for (auto& slice : m_slices) {
            slice.number = number++;
            slice.count = static_cast<std::uint32_t>(m_slices.size());
        }
        return std::move(m_slices);
    }

private:
    void startSlice()
    {
        change_slice next;
        next.from = m_slices.front().from;
        next.to = m_slices.front().to;
        next.digest = m_slices.front().digest;
        m_slices.push_back(std::move(next));
        m_removed = 0;
        m_addedBytes = 0;
    }

    std::vector<change_slice> m_slices;
    std::size_t m_removed = 0; ///< in the last slice
    std::size_t m_addedBytes = 0; ///< in the last slice
};

/// @brief Splits a change into slices that each take the receiver a limited time.
/// @param from base version; 0: none
/// @param to version that the change leads to
/// @param digest content_digest of the document at version `to`
/// @return at least one slice
std::vector<change_slice> splitIntoSlices(
    std::uint64_t from, std::uint64_t to, std::uint64_t digest, const change& whole)
{
    change_slice head;
    head.from = from;
    head.to = to;
    head.digest = digest;
    head.part.rest = whole.rest;
    slicer slices(std::move(head));
    slices.append(whole.routes, &change::routes);
    slices.append(whole.workspaces, &change::workspaces);
    return slices.take();
}

} // namespace

entry_hash hashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::vector<change_slice> slicesOf(const outline& whole) { return change_tracker().advanceTo(whole); }

std::vector<change_slice> change_tracker::advanceTo(const outline& next)
{
    const auto routes = hashesOf(next.routes);
    const auto workspaces = hashesOf(next.workspaces);
    const entry_hash rest = hashOf(next.rest);
    change result;
    result.routes = changesBetween(m_routes, routes, next.routes);
    result.workspaces = changesBetween(m_workspaces, workspaces, next.workspaces);
    if (rest != m_rest)
        result.rest = next.rest;
    const std::uint64_t from = m_version;
    m_version = next.version;
    m_routes = routes;
    m_workspaces = workspaces;
    m_rest = rest;
    return splitIntoSlices(from, m_version, digestOf(m_routes, m_workspaces, m_rest), result);
}

} // namespace buckthornrail::document
