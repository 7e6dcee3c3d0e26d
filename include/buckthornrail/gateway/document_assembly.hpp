/// @file
/// @brief Assembles document changes that arrive in slices, decoding each slice on arrival.
#pragma once

#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/gateway/route_index.hpp"

namespace buckthornrail::gateway {

/// A change whose slices have all arrived.
struct completed_change {
    std::shared_ptr<route_index> whole; ///< the full document; empty: `change` applies to the current one
    decoded_change change;
};

/// @brief Collects the slices of one sender.
class document_assembly {
public:
    explicit document_assembly(const control_dialect& dialect)
        : m_dialect(dialect)
    {
    }

    /// @brief Decodes the next slice.
    /// @return MalformedMessage when the slice is out of order; InvalidDocument when an entry can't be decoded, in
    /// which case the whole change is skipped
    tl::expected<void, failure> addSlice(const document::change_slice& slice);
    /// @return completed changes in order of arrival, each once
    [[nodiscard]] std::vector<completed_change> takeCompleted();
    /// @brief Discards all slices and completed changes, as the sender is gone or starts again.
    void discard();

private:
    tl::expected<void, failure> decode(const document::change& part);
    [[nodiscard]] bool isNext(const document::change_slice& slice) const;

    const control_dialect& m_dialect;
    std::vector<completed_change> m_completed;
    completed_change m_partial; ///< slices are missing
    std::uint32_t m_next = 0; ///< number of the next slice
    bool m_isSkipped = false; ///< an entry of the partial change couldn't be decoded
};

} // namespace buckthornrail::gateway
